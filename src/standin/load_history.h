#pragma once

#include "standin/fault_registry.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Stores load snapshots, so that a report can be as old as the configured lag. Thread-safe.
class load_history
{
public:
    /// Adds the snapshot as the load from now on; called on each change of the load.
    void record(nlohmann::json snapshot);
    /// Returns the load as it was `lag` ago, with its age in `age_ms`. At least one snapshot must have been recorded.
    nlohmann::json at(std::chrono::milliseconds lag) const;

private:
    mutable std::mutex m_mutex;
    std::deque<std::pair<fake_clock::time_point, nlohmann::json>> m_snapshots;
};

}
