#pragma once

#include "standin/fault_board.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Remembers load snapshots, so that a report can be as old as the configured lag. Thread-safe.
class load_history
{
public:
    /// Called on each change of the load.
    void record(nlohmann::json snapshot);
    /// What was the load `lag` ago, with its age in `age_ms`.
    nlohmann::json at(std::chrono::milliseconds lag) const;

private:
    mutable std::mutex m_mutex;
    std::deque<std::pair<fake_clock::time_point, nlohmann::json>> m_snapshots;
};

}
