#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Receives usage reports for the fake platform. Records every report and flags a usage window that is reported again with different figures.
/// Thread-safe.
class usage_sink
{
public:
    /// Records the body of POST /usage/reports and returns the response body {repeated, differs}.
    nlohmann::json recordReport(const nlohmann::json &body);
    /// All reports received. `conflicts` counts reports that differ from the first one of their window, `stale` reports below the highest epoch
    /// of their window.
    nlohmann::json report() const;

private:
    mutable std::mutex m_mutex;
    nlohmann::json m_reports = nlohmann::json::array();
    std::map<std::string, std::pair<nlohmann::json, std::uint64_t>> m_windows; // Figures of the first report and highest epoch, by cell and window.
    int m_conflicts = 0;
    int m_stale = 0;
};

}
