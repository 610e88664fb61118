#include "standin/load_history.h"

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxSnapshots = 4000;
constexpr auto maxLag = std::chrono::seconds(30);

}

void load_history::record(nlohmann::json snapshot)
{
    const std::lock_guard lock(m_mutex);
    const auto now = fake_clock::now();
    m_snapshots.emplace_back(now, std::move(snapshot));
    // The newest snapshot that is older than the largest lag must stay.
    while (m_snapshots.size() > 1 && (m_snapshots.size() > maxSnapshots || m_snapshots[1].first < now - maxLag)) {
        m_snapshots.pop_front();
    }
}

nlohmann::json load_history::at(std::chrono::milliseconds lag) const
{
    const std::lock_guard lock(m_mutex);
    const auto wanted = fake_clock::now() - lag;
    auto found = m_snapshots.rbegin();
    while (std::next(found) != m_snapshots.rend() && found->first > wanted) {
        ++found;
    }
    auto report = found->second;
    // A snapshot stays true until the next change, so the report is as old as the lag unless the engine is younger than that.
    const auto reportedAt = std::max(found->first, wanted);
    report["age_ms"] = std::chrono::duration<double, std::milli>(fake_clock::now() - reportedAt).count();
    return report;
}

}
