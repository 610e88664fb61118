#include "serving/suspect_requests.h"

#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxCrashes = 3; // A request that crashed this many endpoints is refused.
constexpr std::size_t maxEntries = 1024;
constexpr auto trialInterval = std::chrono::seconds(20);
constexpr auto changeReportTime = std::chrono::seconds(2); // Longer than any gap between summaries, so that a lost datagram loses no change.

std::int64_t ageMs(instant at, instant now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - at).count();
}

}

suspect_requests::entry &suspect_requests::find(std::string_view fingerprint, instant now)
{
    if (const auto found = m_entries.find(fingerprint); found != m_entries.end()) {
        return found->second;
    }
    if (m_entries.size() >= maxEntries) {
        prune(now);
    }
    return m_entries[std::string(fingerprint)];
}

// Removes expired entries, or the one unchanged for longest if none has expired.
void suspect_requests::prune(instant now)
{
    const auto removed = std::erase_if(m_entries, [now](const auto &item) {
        return now - item.second.changedAt > tunables::suspectRefusalTime;
    });
    if (removed == 0) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &item) {
            return item.second.changedAt;
        }));
    }
}

void suspect_requests::recordCrash(std::string_view fingerprint, std::uint64_t process, instant now)
{
    auto &known = find(fingerprint, now);
    if (now - known.lastCrash > tunables::suspectRefusalTime) {
        known.crashed.clear();
    }
    if (std::ranges::find(known.crashed, process) != known.crashed.end()) {
        return;
    }
    if (known.crashed.size() < maxCrashes) {
        known.crashed.push_back(process);
    }
    known.lastCrash = now;
    known.changedAt = now;
}

void suspect_requests::recordSuccess(std::string_view fingerprint, instant now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return;
    }
    setSuccess(found->second, now, now);
}

// Only what voids a crash is a change to report: the age of a report lacks the time on the way, so its time of success is always a little newer.
void suspect_requests::setSuccess(entry &known, instant at, instant now)
{
    known.clearedAt = at;
    if (!known.crashed.empty()) {
        known.crashed.clear();
        known.changedAt = now;
    }
}

void suspect_requests::merge(const suspect_report &report, instant now)
{
    const instant at = now - std::chrono::milliseconds(report.ageMs);
    auto &known = find(report.fingerprint, now);
    if (report.crashed.empty()) {
        if (at > known.lastCrash && at > known.clearedAt) {
            setSuccess(known, at, now);
        }
        return;
    }
    if (at <= known.clearedAt) {
        return;
    }
    for (const auto process : report.crashed) {
        if (known.crashed.size() < maxCrashes && std::ranges::find(known.crashed, process) == known.crashed.end()) {
            known.crashed.push_back(process);
            known.lastCrash = std::max(known.lastCrash, at);
            known.changedAt = now;
        }
    }
}

int suspect_requests::crashes(std::string_view fingerprint, instant now) const
{
    const auto found = m_entries.find(fingerprint);
    const bool live = found != m_entries.end() && now - found->second.lastCrash <= tunables::suspectRefusalTime;
    return live ? static_cast<int>(found->second.crashed.size()) : 0;
}

bool suspect_requests::isSuspect(std::string_view fingerprint, instant now) const
{
    return crashes(fingerprint, now) >= static_cast<int>(maxCrashes);
}

bool suspect_requests::startTrial(std::string_view fingerprint, instant now)
{
    auto &known = find(fingerprint, now);
    if (now - std::max(known.lastCrash, known.triedAt) <= trialInterval) {
        return false;
    }
    known.triedAt = now;
    return true;
}

std::vector<suspect_report> suspect_requests::reports(std::size_t limit, instant now)
{
    using item = std::pair<const std::string, entry>;
    const auto report = [now](const item &from) -> suspect_report {
        const auto &known = from.second;
        return {from.first, known.crashed, ageMs(known.crashed.empty() ? known.clearedAt : known.lastCrash, now)};
    };
    // 1. The latest changes, successes included.
    std::vector<const item *> changed;
    std::vector<const item *> live;
    for (const auto &current : m_entries) {
        if (now - current.second.changedAt <= changeReportTime) {
            changed.push_back(&current);
        } else if (!current.second.crashed.empty() && now - current.second.lastCrash <= tunables::suspectRefusalTime) {
            live.push_back(&current);
        }
    }
    std::ranges::sort(changed, std::ranges::greater{}, [](const item *current) {
        return current->second.changedAt;
    });
    std::vector<suspect_report> out;
    for (const item *current : changed) {
        if (out.size() < limit) {
            out.push_back(report(*current));
        }
    }
    // 2. Older crashes in turn, for daemons that have just started.
    const auto next = std::ranges::find_if(live, [this](const item *current) {
        return current->first > m_lastReported;
    });
    std::ranges::rotate(live, next);
    for (const item *current : live) {
        if (out.size() < limit) {
            out.push_back(report(*current));
            m_lastReported = current->first;
        }
    }
    return out;
}

}
