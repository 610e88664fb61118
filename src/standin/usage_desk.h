#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// The platform's usage reports. Every report is recorded; a window that was reported twice with different figures is flagged. Thread-safe.
class usage_desk
{
public:
    nlohmann::json take(const nlohmann::json &body);
    nlohmann::json report() const;

private:
    mutable std::mutex m_mutex;
    nlohmann::json m_reports = nlohmann::json::array();
    std::map<std::string, std::pair<nlohmann::json, std::uint64_t>> m_first; // Figures and epoch by cell and window.
    int m_conflicts = 0;
    int m_stale = 0;
};

}
