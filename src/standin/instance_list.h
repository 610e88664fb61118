#pragma once

#include "standin/fault_registry.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// The platform's list of instances, published with a delay. Thread-safe.
class instance_list
{
public:
    explicit instance_list(std::chrono::milliseconds lag);

    /// Adds or updates an instance {id, address, caller_address, failure_domain, leaving}; with `gone` removes it.
    void applyChange(const nlohmann::json &instance);
    /// Returns the list as it was `lag` ago; while `frozen` is true, the list of the last call that was not frozen.
    nlohmann::json published(bool frozen);

private:
    std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    nlohmann::json m_current = nlohmann::json::object(); // By id.
    std::deque<std::pair<fake_clock::time_point, nlohmann::json>> m_history;
    nlohmann::json m_published = nlohmann::json::array();
};

}
