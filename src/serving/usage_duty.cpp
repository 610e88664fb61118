#include "serving/usage_duty.h"

#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr auto storeInterval = std::chrono::milliseconds(1000); // A killed daemon loses at most this much of its counts.
constexpr auto closeDelay = std::chrono::milliseconds(3000); // Two store intervals and a slow call, for the last counts of a window.
constexpr auto reportTick = std::chrono::milliseconds(500);
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
    transaction commit{.writes = {{.key = key, .value = encodeCounts(change.counts)}}};
    const auto outcome = co_await context.platform.store.commit(std::move(commit));
    context.counters.count(metric_counter::StoreWrites);
    if (outcome == commit_outcome::Committed) {
        context.usage.noteStored(change.window, change.revision);
    } else {
        context.counters.count(metric_counter::StoreErrors);
    }
}

/// The figures to report, frozen by this or an earlier holder; nothing when the store can't tell.
task<std::optional<usage_counts>> freezeWindow(edge_context &context, std::int64_t window, std::uint64_t epoch)
{
    const std::string key = frozenKey(window);
    for (int round = 0; round < 2; ++round) {
        const auto frozen = co_await context.platform.store.read(key);
        if (!frozen.ok()) {
            co_return std::nullopt;
        }
        if (frozen->has_value()) {
            usage_counts counts;
            if (!addCounts(counts, (*frozen)->value)) {
                auto line = context.line("usage_unreadable");
                line.add("key", key).add("version", (*frozen)->version);
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
        for (const auto &row : *rows) {
            if (!addCounts(sum, row.value)) {
                auto line = context.line("usage_unreadable");
                line.add("key", row.key).add("version", row.version);
                context.log.write(line);
            }
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
    while (true) {
        for (auto &change : context.usage.unstored()) {
            co_await storeWindow(context, std::move(change));
        }
        context.usage.forgetBefore(context.usage.windowAt(context.trueTimeMs()) - keptWindows);
        co_await sleepFor(storeInterval);
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
            const auto counts = co_await freezeWindow(context, window, authority->epoch);
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
