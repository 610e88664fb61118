#include "serving/suspect_requests.h"

#include "protocol/tunables.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxCrashes = 3; // A request or a part that crashed this many endpoints is refused.
constexpr std::size_t maxKeptCrashes = 32; // The latest ones.
constexpr std::size_t maxEntries = 1024;
constexpr auto trialInterval = std::chrono::seconds(20); // Doubles with each trial: each may crash another endpoint.
constexpr auto partTrialInterval = std::chrono::seconds(30);
constexpr int maxTrials = 3; // The target allows three retries of a request after the third crash, and three of a part after the fifth.
constexpr int maxPartTrials = 5;
constexpr auto changeReportTime = std::chrono::seconds(2); // Longer than any gap between summaries, so that a lost datagram loses no change.
constexpr std::string_view partPrefix = "part:";
// Crashes closer than this count as one for a part: endpoints that end together for a reason of their own were running the same common parts.
constexpr auto separateCrashes = std::chrono::milliseconds(100);
// From the last crash that counts until a part is refused, so that a success elsewhere is heard first.
constexpr auto partConfirmationTime = std::chrono::milliseconds(400);

std::int64_t ageMs(instant at, instant now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - at).count();
}

bool isPart(std::string_view key)
{
    return key.starts_with(partPrefix);
}

/// The time from which `times` hold maxCrashes separate crashes, or the end of time if they do not.
instant completedAt(std::vector<instant> times)
{
    std::ranges::sort(times);
    std::size_t separate = 0;
    instant last;
    for (const auto at : times) {
        if (separate == 0 || at - last >= separateCrashes) {
            last = at;
            if (++separate == maxCrashes) {
                return at;
            }
        }
    }
    return instant::max();
}

}

std::string suspect_requests::partKey(std::uint64_t id)
{
    return absl::StrCat(std::string(partPrefix), absl::Hex(id));
}

suspect_requests::entry &suspect_requests::find(std::string_view key, instant now)
{
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        return found->second;
    }
    if (m_entries.size() >= maxEntries) {
        prune(now);
    }
    return m_entries[std::string(key)];
}

// Removes expired entries, or the one unchanged for longest if none has expired.
void suspect_requests::prune(instant now)
{
    const auto removed = std::erase_if(m_entries, [now](const auto &item) {
        return now - item.second.changedAt > tunables::suspectRefusalTime && !isLive(item.second, now);
    });
    if (removed == 0) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &item) {
            return item.second.changedAt;
        }));
    }
}

bool suspect_requests::isLive(const entry &known, instant now)
{
    return now - std::max(known.lastCrash, known.lastRefusal) <= tunables::suspectRefusalTime;
}

// The failed trials of other daemons show as crashes that come long after the one before. Those of endpoints that end one after the other for a reason of
// their own, of which there may be many, do not.
int suspect_requests::failedTrials(const entry &known)
{
    std::vector<instant> times;
    times.reserve(known.crashes.size());
    for (const auto &[process, at] : known.crashes) {
        times.push_back(at);
    }
    std::ranges::sort(times);
    int late = 0;
    for (std::size_t i = maxCrashes; i < times.size(); ++i) {
        late += times[i] - times[i - 1] >= trialInterval ? 1 : 0;
    }
    return std::max(known.trials, late);
}

void suspect_requests::addCrash(entry &known, std::uint64_t process, instant at, instant now)
{
    if (at <= known.clearedAt || std::ranges::find(known.crashes, process, &crash::process) != known.crashes.end()) {
        return;
    }
    if (known.crashes.size() >= maxKeptCrashes) {
        const auto oldest = std::ranges::min_element(known.crashes, {}, &crash::at);
        if (at <= oldest->at) {
            return;
        }
        known.crashes.erase(oldest);
    }
    known.crashes.push_back({process, at});
    known.lastCrash = std::max(known.lastCrash, at);
    known.changedAt = now;
}

void suspect_requests::recordCrash(std::string_view key, std::uint64_t process, instant now)
{
    auto &known = find(key, now);
    if (!isLive(known, now)) {
        known.crashes.clear();
        known.trials = 0;
    }
    addCrash(known, process, now, now);
}

void suspect_requests::recordSuccess(std::string_view key, instant now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return;
    }
    setSuccess(found->second, now, now);
}

// Only what voids a crash is a change to report: the age of a report lacks the time on the way, so its time of success is always a little newer.
void suspect_requests::setSuccess(entry &known, instant at, instant now)
{
    if (at <= known.clearedAt) {
        return;
    }
    known.clearedAt = at;
    const auto voided = std::erase_if(known.crashes, [at](const crash &old) {
        return old.at <= at;
    });
    if (voided > 0) {
        known.changedAt = now;
        known.trials = 0;
    }
}

void suspect_requests::merge(const suspect_report &report, instant now)
{
    const auto before = [now](std::int64_t ms) {
        return now - std::chrono::milliseconds(ms);
    };
    auto &known = find(report.fingerprint, now);
    if (report.crashed.empty()) {
        setSuccess(known, before(report.ageMs), now);
    } else if (report.successAgeMs) {
        setSuccess(known, before(*report.successAgeMs), now);
    }
    if (!report.crashed.empty()) {
        known.lastRefusal = std::max(known.lastRefusal, before(report.ageMs));
    }
    const bool ages = report.crashAgesMs.size() == report.crashed.size();
    for (std::size_t i = 0; i < report.crashed.size(); ++i) {
        addCrash(known, report.crashed[i], before(ages ? report.crashAgesMs[i] : report.ageMs), now);
    }
}

int suspect_requests::crashes(std::string_view key, instant now) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && isLive(found->second, now) ? static_cast<int>(found->second.crashes.size()) : 0;
}

bool suspect_requests::isSuspect(std::string_view fingerprint, instant now) const
{
    return crashes(fingerprint, now) >= static_cast<int>(maxCrashes);
}

bool suspect_requests::isCrashingPart(const item &candidate, instant now)
{
    const auto &known = candidate.second;
    if (!isPart(candidate.first) || known.crashes.size() < maxCrashes || !isLive(known, now)) {
        return false;
    }
    std::vector<instant> times;
    times.reserve(known.crashes.size());
    for (const auto &[process, at] : known.crashes) {
        times.push_back(at);
    }
    const auto since = completedAt(std::move(times));
    return since != instant::max() && now - since >= partConfirmationTime;
}

const std::string *suspect_requests::findCrashingPart(std::span<const std::string> parts, instant now) const
{
    for (const auto &part : parts) {
        const auto found = m_entries.find(part);
        if (found == m_entries.end() || !isCrashingPart(*found, now)) {
            continue;
        }
        const auto &crashes = found->second.crashes;
        // Parts outside the request that ran in as many crashes or more.
        std::vector<const entry *> others;
        for (const auto &current : m_entries) {
            const bool outside = std::ranges::find(parts, current.first) == parts.end();
            if (outside && current.second.crashes.size() >= crashes.size() && isCrashingPart(current, now)) {
                others.push_back(&current.second);
            }
        }
        std::vector<instant> unexplained;
        for (const auto &[process, at] : crashes) {
            const auto explains = [process = process](const entry *other) {
                return std::ranges::find(other->crashes, process, &crash::process) != other->crashes.end();
            };
            if (std::ranges::none_of(others, explains)) {
                unexplained.push_back(at);
            }
        }
        if (completedAt(std::move(unexplained)) != instant::max()) {
            return &part;
        }
    }
    return nullptr;
}

bool suspect_requests::startTrial(std::string_view key, instant now)
{
    auto &known = find(key, now);
    const int failed = failedTrials(known);
    if (failed >= (isPart(key) ? maxPartTrials : maxTrials)) {
        return false;
    }
    const duration interval = (isPart(key) ? duration(partTrialInterval) : duration(trialInterval)) * (1 << failed);
    if (now - std::max(known.lastCrash, known.triedAt) <= interval) {
        return false;
    }
    known.triedAt = now;
    ++known.trials;
    return true;
}

void suspect_requests::noteRefusal(std::string_view key, instant now)
{
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        found->second.lastRefusal = now;
    }
}

suspect_report suspect_requests::makeReport(const item &from, instant now)
{
    const auto &known = from.second;
    suspect_report report{.fingerprint = from.first,
                          .ageMs = ageMs(known.crashes.empty() ? known.clearedAt : std::max(known.lastCrash, known.lastRefusal), now)};
    for (const auto &[process, at] : known.crashes) {
        report.crashed.push_back(process);
        report.crashAgesMs.push_back(ageMs(at, now));
    }
    if (!known.crashes.empty() && known.clearedAt != instant()) {
        report.successAgeMs = ageMs(known.clearedAt, now);
    }
    return report;
}

std::vector<suspect_report> suspect_requests::reports(std::size_t limit, instant now)
{
    // 1. The latest changes, successes included.
    std::vector<const item *> changed;
    std::vector<const item *> live;
    for (const auto &current : m_entries) {
        if (now - current.second.changedAt <= changeReportTime) {
            changed.push_back(&current);
        } else if (!current.second.crashes.empty() && isLive(current.second, now)) {
            live.push_back(&current);
        }
    }
    // A single crash proves nothing yet, and each crash adds one for every request that was running.
    std::ranges::sort(changed, std::ranges::greater{}, [](const item *current) {
        return std::pair(current->second.crashes.size() != 1, current->second.changedAt);
    });
    std::vector<suspect_report> out;
    for (const item *current : changed) {
        if (out.size() < limit) {
            out.push_back(makeReport(*current, now));
        }
    }
    // 2. Older crashes in turn, for daemons that have just started.
    const auto next = std::ranges::find_if(live, [this](const item *current) {
        return current->first > m_lastReported;
    });
    std::ranges::rotate(live, next);
    for (const item *current : live) {
        if (out.size() < limit) {
            out.push_back(makeReport(*current, now));
            m_lastReported = current->first;
        }
    }
    return out;
}

}
