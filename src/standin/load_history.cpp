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
    // The newest snapshot older than the largest lag must stay, because it was the load at that time.
    while (m_snapshots.size() > 1 && (m_snapshots.size() > maxSnapshots || m_snapshots[1].first < now - maxLag)) {
        m_snapshots.pop_front();
    }
}

nlohmann::json load_history::at(std::chrono::milliseconds lag) const
{
    const std::lock_guard lock(m_mutex);
    const auto targetTime = fake_clock::now() - lag;
    auto found = m_snapshots.rbegin();
    while (std::next(found) != m_snapshots.rend() && found->first > targetTime) {
        ++found;
    }
    auto report = found->second;
    // A snapshot is valid until the next change, so the age of the report is the lag, or less when the engine started more recently.
    const auto reportedAt = std::max(found->first, targetTime);
    report["age_ms"] = std::chrono::duration<double, std::milli>(fake_clock::now() - reportedAt).count();
    return report;
}

}
