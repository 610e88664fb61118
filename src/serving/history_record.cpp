#include "serving/history_record.h"

#include "transport/boot_clock.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

const std::string recordKey = "history";
constexpr auto retryPause = std::chrono::milliseconds(150); // After a failed call, as for the other rows.
constexpr auto checkInterval = std::chrono::milliseconds(250);

// A row that is odd or names a later history than the store has is written anew.
std::optional<history_record> readRecord(const edge_context &context, const std::optional<row> &stored)
{
    if (!stored) {
        return std::nullopt;
    }
    const auto record = parseHistory(stored->value);
    if (!record || record->history > context.platform.store.history()) {
        auto line = context.line("history_unreadable");
        line.add("key", recordKey).add("version", stored->version).add("history", record ? record->history : 0);
        context.log.write(line);
        return std::nullopt;
    }
    return record;
}

// Takes over what the record says. Returns whether it is that of the current history; if not, the store was restored, or has no record yet.
bool applyRecord(edge_context &context, const std::optional<history_record> &known)
{
    const std::uint64_t history = context.platform.store.history();
    const std::int64_t currentWindow = context.usage.windowAt(context.correctedTimeMs());
    context.historyUnread = false;
    if (known && known->history == history) {
        // The clock of the daemon that wrote the record may be wrong.
        context.reportedBefore = std::max(context.reportedBefore, std::min(known->reportedBefore, currentWindow + 1));
        return true;
    }
    if (known && context.storeRestoredAt == instant{}) {
        context.storeRestoredAt = bootNow();
        auto line = context.line("store_restored");
        line.add("from_history", known->history).add("to_history", history);
        context.log.write(line);
    }
    // Without a record, nothing is known of the windows before either.
    context.reportedBefore = std::max(context.reportedBefore, currentWindow);
    return false;
}

// Returns the history that has a record now, or nothing if the store did not answer or another daemon wrote meanwhile.
task<std::optional<std::uint64_t>> recordHistory(edge_context &context)
{
    const auto stored = co_await context.platform.store.read(recordKey);
    context.counters.count(metric_counter::StoreReads);
    noteHistory(context);
    if (!stored.ok()) {
        co_return std::nullopt;
    }
    const std::uint64_t history = context.platform.store.history();
    if (applyRecord(context, readRecord(context, *stored))) {
        co_return history;
    }
    const history_record record{.history = history, .reportedBefore = context.reportedBefore};
    transaction change{.conditions = {{.key = recordKey, .version = *stored ? (*stored)->version : 0}},
                       .writes = {{.key = recordKey, .value = encodeHistory(record)}}};
    const auto outcome = co_await context.platform.store.commit(std::move(change));
    context.counters.count(metric_counter::StoreWrites);
    noteHistory(context);
    co_return outcome == commit_outcome::Committed ? std::optional(history) : std::nullopt;
}

}

std::string encodeHistory(const history_record &record)
{
    return nlohmann::json{{"history", record.history}, {"reported_before", record.reportedBefore}}.dump();
}

std::optional<history_record> parseHistory(std::string_view encoded)
{
    const auto value = nlohmann::json::parse(encoded, nullptr, false);
    const auto isCount = [&](const char *name) {
        return value.contains(name) && value[name].is_number_unsigned();
    };
    if (!value.is_object() || !isCount("history") || !isCount("reported_before")) {
        return std::nullopt;
    }
    return history_record{value["history"], value["reported_before"]};
}

task<void> maintainHistoryRecord(edge_context &context)
{
    std::optional<std::uint64_t> recorded;
    while (!context.stopping) {
        const bool due = recorded != context.platform.store.history();
        if (due) {
            recorded = co_await recordHistory(context);
        }
        co_await sleepFor(due && !recorded ? retryPause : checkInterval);
    }
}

}
