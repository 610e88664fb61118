#pragma once

#include "standin/fault_board.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// The platform's list of instances, shown with a lag. Thread-safe.
class instance_list
{
public:
    explicit instance_list(std::chrono::milliseconds lag);

    /// Adds or replaces an instance {id, address, caller_address, failure_domain, leaving}; with `gone` it is taken off.
    void change(const nlohmann::json &instance);
    /// The list as it was `lag` ago, or at the time of the freeze.
    nlohmann::json visible(bool frozen);

private:
    std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    nlohmann::json m_current = nlohmann::json::object(); // By id.
    std::deque<std::pair<fake_clock::time_point, nlohmann::json>> m_history;
    nlohmann::json m_shown = nlohmann::json::array();
};

}
