#include "serving/usage_duty.h"

#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>
#include <set>

namespace lacewinglock
{

namespace
{

// A killed daemon loses at most this much of its counts; with more daemons, the part of one matters less.
constexpr auto shortestStoreInterval = std::chrono::milliseconds(1500);
constexpr auto storeIntervalPerDaemon = std::chrono::milliseconds(165);
constexpr auto storeTick = std::chrono::milliseconds(250); // Final counts are written this soon after their window.
constexpr auto closeDelay = std::chrono::milliseconds(1000); // Before that, the final counts of a window can't be complete.
constexpr auto reportReserve = std::chrono::milliseconds(3000); // Kept for the report, with a repeat, when counts of a daemon stay away.
constexpr auto reportTick = std::chrono::milliseconds(700);
constexpr auto callMargin = std::chrono::milliseconds(1500); // The lease must outlive the report call.
constexpr std::int64_t keptWindows = 8; // Rows of older windows are deleted.

std::string windowPrefix(std::int64_t window)
{
    return absl::StrFormat("usage/%020d/", window);
}

std::string frozenKey(std::int64_t window)
{
    return absl::StrFormat("window/%020d", window);
}

task<void> storeWindow(edge_context &context, usage_windows::change change)
{
    const std::string key = absl::StrCat(windowPrefix(change.window), context.settings.id, "~", context.incarnation);
    transaction commit{.writes = {{.key = key, .value = encodeUsage(change.usage)}}};
    const auto outcome = co_await context.platform.store.commit(std::move(commit));
    context.counters.count(metric_counter::StoreWrites);
    if (outcome == commit_outcome::Committed) {
        context.usage.noteStored(change);
    } else {
        context.counters.count(metric_counter::StoreErrors);
    }
}

// Every member has told its final counts.
bool isComplete(const edge_context &context, std::int64_t window, const std::map<std::string, bool> &finalByKey)
{
    return std::ranges::all_of(context.members, [&](const auto &member) {
        const auto found = finalByKey.lower_bound(absl::StrCat(windowPrefix(window), member.first, "~"));
        return found != finalByKey.end() && found->first.starts_with(absl::StrCat(windowPrefix(window), member.first, "~")) && found->second;
    });
}

/// The figures to report, frozen by this or an earlier holder; nothing when the store can't tell, or when counts are missing and may still come.
task<std::optional<usage_counts>> freezeWindow(edge_context &context, std::int64_t window, std::uint64_t epoch, bool mayWait)
{
    const std::string key = frozenKey(window);
    for (int round = 0; round < 2; ++round) {
        const auto frozen = co_await context.platform.store.read(key);
        if (!frozen.ok()) {
            co_return std::nullopt;
        }
        if (const auto &stored = *frozen; stored.has_value()) {
            usage_counts counts;
            if (!addCounts(counts, stored->value)) {
                auto line = context.line("usage_unreadable");
                line.add("key", key).add("version", stored->version);
                context.log.write(line);
                co_return std::nullopt;
            }
            co_return counts;
        }
        const auto rows = co_await context.platform.store.scan(windowPrefix(window));
        if (!rows.ok()) {
            co_return std::nullopt;
        }
        usage_counts sum;
        std::map<std::string, bool> finalByKey;
        for (const auto &row : *rows) {
            if (const auto part = parseUsage(row.value)) {
                finalByKey[row.key] = part->final;
                for (const auto &[organisation, count] : part->counts) {
                    sum[organisation] += count;
                }
            } else {
                auto line = context.line("usage_unreadable");
                line.add("key", row.key).add("version", row.version);
                context.log.write(line);
            }
        }
        if (mayWait && !isComplete(context, window, finalByKey)) {
            co_return std::nullopt;
        }
        transaction commit{.conditions = {{.key = key, .version = 0}}, .writes = {{.key = key, .value = encodeCounts(sum)}}};
        const auto outcome = co_await context.platform.store.commit(std::move(commit));
        context.counters.count(metric_counter::StoreWrites);
        auto line = context.line("usage_frozen");
        line.add("window", window).add("epoch", epoch).add("rows", rows->size()).add("outcome", static_cast<int>(outcome));
        context.log.write(line);
        if (outcome == commit_outcome::Committed) {
            co_return sum;
        }
        if (outcome == commit_outcome::Unavailable) {
            co_return std::nullopt;
        }
        // Another holder froze it, or the answer was lost: the row tells.
    }
    co_return std::nullopt;
}

task<void> deleteWindow(edge_context &context, std::int64_t window)
{
    const auto rows = co_await context.platform.store.scan(windowPrefix(window));
    if (!rows.ok()) {
        co_return;
    }
    transaction commit{.writes = {{.key = frozenKey(window), .value = std::nullopt}}};
    for (const auto &row : *rows) {
        commit.writes.push_back({.key = row.key, .value = std::nullopt});
    }
    if (co_await context.platform.store.commit(std::move(commit)) != commit_outcome::Committed) {
        context.counters.count(metric_counter::StoreErrors);
    }
}

}

task<void> storeUsage(edge_context &context)
{
    instant lastAll;
    while (true) {
        const auto interval = std::max<duration>(shortestStoreInterval, storeIntervalPerDaemon * static_cast<int>(context.daemons()));
        const bool all = bootNow() - lastAll >= interval;
        for (auto &change : context.usage.unstored(context.trueTimeMs())) {
            if (all || change.usage.final) {
                co_await storeWindow(context, std::move(change));
            }
        }
        if (all) {
            lastAll = bootNow();
        }
        context.usage.forgetBefore(context.usage.windowAt(context.trueTimeMs()) - keptWindows);
        co_await sleepFor(storeTick);
    }
}

task<void> reportUsage(edge_context &context, lease_runner &lease)
{
    std::set<std::int64_t> done;
    while (!context.stopping) {
        co_await sleepFor(reportTick);
        const std::int64_t now = context.trueTimeMs();
        const std::int64_t length = context.usage.endOf(0);
        const std::int64_t closed = context.usage.windowAt(now - std::chrono::milliseconds(closeDelay).count()) - 1;
        const std::int64_t due = std::chrono::duration_cast<std::chrono::milliseconds>(context.settings.usageDue).count();
        for (std::int64_t window = std::max(closed - due / length, std::int64_t{0}); window <= closed; ++window) {
            const auto authority = lease.authority(callMargin);
            if (!authority) {
                done.clear();
                break;
            }
            if (done.contains(window)) {
                continue;
            }
            const std::int64_t latest = context.usage.endOf(window) + due - std::chrono::milliseconds(reportReserve).count();
            const auto counts = co_await freezeWindow(context, window, authority->epoch, now < latest);
            if (!counts) {
                break;
            }
            if (counts->empty()) {
                done.insert(window);
                continue;
            }
            // The store calls may have taken long.
            if (!lease.authority(callMargin)) {
                break;
            }
            const auto outcome = co_await context.platform.orders.reportUsage(*authority, window, *counts);
            auto line = context.line("usage_reported");
            line.add("window", window).add("epoch", authority->epoch).add("counts", encodeCounts(*counts)).add("outcome", static_cast<int>(outcome));
            context.log.write(line);
            if (outcome == delivery::Accepted || outcome == delivery::Refused) {
                done.insert(window);
                co_await deleteWindow(context, window - keptWindows);
            } else {
                break;
            }
        }
    }
}

}
