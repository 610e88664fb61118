#include "serving/usage_duty.h"

#include "serving/store_backoff.h"
#include "serving/store_batch.h"
#include "serving/usage_relay.h"
#include "transport/boot_clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>
#include <set>

namespace lacewinglock
{

namespace
{

// A killed daemon loses the counts of at most one store interval. The interval grows with the number of daemons, because each one then has a
// smaller part of the counts.
constexpr auto minStoreInterval = std::chrono::milliseconds(1500);
constexpr auto storeIntervalPerDaemon = std::chrono::milliseconds(165);
constexpr auto storePollInterval = std::chrono::milliseconds(250); // Bounds the delay from the end of a window to the write of its final counts.
constexpr auto windowCloseDelay = std::chrono::milliseconds(1000); // No earlier can all final counts of an ended window be stored.
constexpr auto reportMargin = std::chrono::milliseconds(3000); // Time left for the report and one retry when the counts of a daemon do not arrive.
constexpr auto reportPollInterval = std::chrono::milliseconds(700);
constexpr std::int64_t retainedWindows = 8; // Number of recent windows whose rows are kept in the store.

std::string windowPrefix(std::int64_t window)
{
    return absl::StrFormat("usage/%020d/", window);
}

constexpr std::string_view frozenPrefix = "window/";

std::string frozenKey(std::int64_t window)
{
    return absl::StrFormat("%s%020d", std::string(frozenPrefix), window);
}

// Returns whether the counts have reached the store.
task<bool> storeWindow(edge_context &context, usage_windows::change change)
{
    const std::string key = absl::StrCat(windowPrefix(change.window), context.settings.id, "~", context.incarnation);
    row_write write{.key = key, .value = encodeUsage(change.usage)};
    commit_outcome outcome = commit_outcome::Unknown;
    if (change.usage.final) {
        outcome = co_await writeFinalUsage(context, std::move(write));
    } else {
        transaction commit{.writes = {std::move(write)}};
        outcome = co_await context.platform.store.commit(std::move(commit));
        context.counters.count(metric_counter::StoreWrites);
    }
    if (outcome == commit_outcome::Committed) {
        context.usage.markStored(change);
    } else {
        context.counters.count(metric_counter::StoreErrors);
    }
    co_return outcome == commit_outcome::Committed;
}

// True when every member has stored its final counts of the window.
bool isComplete(const edge_context &context, std::int64_t window, const std::map<std::string, bool> &finalByKey)
{
    return std::ranges::all_of(context.members, [&](const auto &member) {
        const auto found = finalByKey.lower_bound(absl::StrCat(windowPrefix(window), member.first, "~"));
        return found != finalByKey.end() && found->first.starts_with(absl::StrCat(windowPrefix(window), member.first, "~")) && found->second;
    });
}

// The frozen row of a window that ended before the store came back from an older copy may be lost. Whether another daemon has reported the window is
// unknown then, and no report is better than a second one with other counts.
void noteRestore(edge_context &context)
{
    noteHistory(context);
    if (context.storeRestoredAt != instant{}) {
        const auto sinceRestore = std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - context.storeRestoredAt);
        context.reportedBefore = std::max(context.reportedBefore, context.usage.windowAt(context.correctedTimeMs() - sinceRestore.count()));
    }
}

void noteWithheld(edge_context &context, std::int64_t window, std::uint64_t epoch)
{
    auto line = context.line("usage_withheld");
    line.add("window", window).add("epoch", epoch);
    context.log.write(line);
}

/// Returns the counts to report: those of the frozen row, which this or an earlier lease holder wrote, or none if the window must not be reported.
/// Returns nullopt when the store does not answer or the frozen row is malformed, and, if `mayWaitForCounts`, while final counts of a member are missing.
task<std::optional<usage_counts>> freezeWindow(edge_context &context, std::int64_t window, std::uint64_t epoch, bool mayWaitForCounts)
{
    const std::string key = frozenKey(window);
    if (context.historyUnread) {
        co_return std::nullopt; // Which windows may have been reported is not known yet.
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto frozen = co_await context.platform.store.read(key);
        noteRestore(context);
        if (!frozen.ok()) {
            co_return std::nullopt;
        }
        if (const auto &frozenRow = *frozen; frozenRow.has_value()) {
            usage_counts counts;
            if (!addCounts(counts, frozenRow->value)) {
                auto line = context.line("usage_unreadable");
                line.add("key", key).add("version", frozenRow->version);
                context.log.write(line);
                co_return std::nullopt;
            }
            // In another history, a daemon that did not know of the row may have frozen the window anew. Either may have been reported.
            if (const auto [known, added] = context.frozenUsage.try_emplace(window, counts); !added && known->second != counts) {
                noteWithheld(context, window, epoch);
                co_return usage_counts();
            }
            co_return counts;
        }
        if (const auto known = context.frozenUsage.find(window); known != context.frozenUsage.end()) {
            const usage_counts counts = known->second;
            transaction again{.conditions = {{.key = key, .version = 0}}, .writes = {{.key = key, .value = encodeCounts(counts)}}};
            const auto outcome = co_await context.platform.store.commit(std::move(again));
            context.counters.count(metric_counter::StoreWrites);
            if (outcome == commit_outcome::Committed) {
                co_return counts;
            }
            if (outcome == commit_outcome::Unavailable) {
                co_return std::nullopt;
            }
            continue; // Another holder wrote a row, or the answer was lost.
        }
        if (window < context.reportedBefore) {
            noteWithheld(context, window, epoch);
            co_return usage_counts();
        }
        const auto rows = co_await context.platform.store.scan(windowPrefix(window));
        if (!rows.ok()) {
            co_return std::nullopt;
        }
        usage_counts sum;
        std::map<std::string, bool> finalByKey;
        for (const auto &row : *rows) {
            if (const auto usage = parseUsage(row.value)) {
                finalByKey[row.key] = usage->final;
                for (const auto &[organisation, count] : usage->counts) {
                    sum[organisation] += count;
                }
            } else {
                auto line = context.line("usage_unreadable");
                line.add("key", row.key).add("version", row.version);
                context.log.write(line);
            }
        }
        if (mayWaitForCounts && !isComplete(context, window, finalByKey)) {
            co_return std::nullopt;
        }
        transaction commit{.conditions = {{.key = key, .version = 0}}, .writes = {{.key = key, .value = encodeCounts(sum)}}};
        const auto outcome = co_await context.platform.store.commit(std::move(commit));
        context.counters.count(metric_counter::StoreWrites);
        auto line = context.line("usage_frozen");
        line.add("window", window).add("epoch", epoch).add("rows", rows->size()).add("outcome", static_cast<int>(outcome));
        context.log.write(line);
        if (outcome == commit_outcome::Committed) {
            context.frozenUsage[window] = sum;
            co_return sum;
        }
        if (outcome == commit_outcome::Unavailable) {
            co_return std::nullopt;
        }
        // Another holder wrote the frozen row, or the answer of the commit was lost. The next iteration reads the row.
    }
    co_return std::nullopt;
}

// The frozen row is deleted last: as long as it exists, the window is known to have rows.
task<bool> deleteWindow(edge_context &context, std::int64_t window)
{
    const auto rows = co_await context.platform.store.scan(windowPrefix(window));
    if (!rows.ok()) {
        co_return false;
    }
    std::vector<row_write> deletions;
    for (const auto &row : *rows) {
        deletions.push_back({.key = row.key, .value = std::nullopt});
    }
    deletions.push_back({.key = frozenKey(window), .value = std::nullopt});
    co_return co_await commitInParts(context, deletions) == commit_outcome::Committed;
}

/// Windows whose rows are in the store.
class stored_windows
{
public:
    void add(std::int64_t window)
    {
        m_windows.insert(window);
    }

    /// Deletes the rows of the windows before `window`. Those that cannot be deleted now are deleted with the next call; those that an earlier holder
    /// of the duty left are found by their frozen rows.
    task<void> deleteBefore(edge_context &context, std::int64_t window)
    {
        if (!m_listed) {
            const auto frozen = co_await context.platform.store.scan(std::string(frozenPrefix));
            if (!frozen.ok()) {
                co_return;
            }
            m_listed = true;
            for (const auto &row : *frozen) {
                if (std::int64_t found = 0; absl::SimpleAtoi(row.key.substr(frozenPrefix.size()), &found)) {
                    m_windows.insert(found);
                }
            }
        }
        while (!m_windows.empty() && *m_windows.begin() < window) {
            const std::int64_t oldest = *m_windows.begin();
            if (!co_await deleteWindow(context, oldest)) {
                co_return;
            }
            m_windows.erase(oldest);
        }
    }

private:
    std::set<std::int64_t> m_windows;
    bool m_listed = false; ///< The windows that other daemons left have been added.
};

}

task<void> storeUsage(edge_context &context)
{
    instant lastFullStore;
    std::uint64_t history = context.platform.store.history();
    store_backoff backoff;
    while (true) {
        if (const auto newest = context.platform.store.history(); newest != history) {
            context.usage.markAllUnstored();
            history = newest;
        }
        noteRestore(context);
        const auto interval = std::max<duration>(minStoreInterval, storeIntervalPerDaemon * static_cast<int>(context.daemons()));
        const bool storeAll = bootNow() - lastFullStore >= interval;
        for (auto &change : context.usage.unstored(context.correctedTimeMs())) {
            if (!(storeAll || change.usage.final) || !backoff.isDue(bootNow())) {
                continue;
            }
            if (co_await storeWindow(context, std::move(change))) {
                backoff.noteSuccess();
            } else {
                backoff.noteFailure(store_recovery::Probed, context.jitter(), bootNow());
            }
        }
        if (storeAll) {
            lastFullStore = bootNow();
        }
        const std::int64_t oldest = context.usage.windowAt(context.correctedTimeMs()) - retainedWindows;
        context.usage.eraseBefore(oldest);
        context.frozenUsage.erase(context.frozenUsage.begin(), context.frozenUsage.lower_bound(oldest));
        co_await sleepFor(storePollInterval);
    }
}

task<void> reportUsage(edge_context &context, lease_runner &lease)
{
    std::set<std::int64_t> reported;
    stored_windows stored;
    std::uint64_t history = context.platform.store.history();
    while (!context.stopping) {
        co_await sleepFor(reportPollInterval);
        // The frozen rows may be lost. They are written again, and the platform ignores an equal report.
        if (const auto newest = context.platform.store.history(); newest != history) {
            history = newest;
            reported.clear();
            stored = {};
        }
        const std::int64_t now = context.correctedTimeMs();
        const std::int64_t lengthMs = context.usage.windowEndMs(0);
        const std::int64_t lastClosedWindow = context.usage.windowAt(now - std::chrono::milliseconds(windowCloseDelay).count()) - 1;
        const std::int64_t reportDueMs = std::chrono::duration_cast<std::chrono::milliseconds>(context.settings.usageDue).count();
        for (std::int64_t window = std::max(lastClosedWindow - reportDueMs / lengthMs, std::int64_t{0}); window <= lastClosedWindow; ++window) {
            const auto epoch = lease.epoch();
            if (!epoch) {
                reported.clear();
                stored = {};
                break;
            }
            if (reported.contains(window)) {
                continue;
            }
            const std::int64_t waitUntilMs = context.usage.windowEndMs(window) + reportDueMs - std::chrono::milliseconds(reportMargin).count();
            const auto counts = co_await freezeWindow(context, window, *epoch, now < waitUntilMs);
            if (!counts) {
                break;
            }
            stored.add(window);
            if (counts->empty()) {
                reported.insert(window);
                continue;
            }
            // The lease may have ended during the store calls, and may even have been acquired again after another daemon had it.
            const auto authority = lease.authorize();
            if (!authority || authority->epoch != *epoch) {
                break;
            }
            const auto outcome = co_await context.platform.orders.reportUsage(*authority, window, *counts);
            auto line = context.line("usage_reported");
            line.add("window", window).add("epoch", authority->epoch).add("counts", encodeCounts(*counts)).add("outcome", static_cast<int>(outcome));
            context.log.write(line);
            if (outcome == delivery_outcome::Accepted || outcome == delivery_outcome::Refused) {
                reported.insert(window);
                co_await stored.deleteBefore(context, window - retainedWindows + 1);
            } else {
                break;
            }
        }
    }
}

}
