#include "serving/history_record.h"

#include "serving/store_backoff.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

const std::string recordKey = "history";
constexpr auto checkInterval = std::chrono::milliseconds(250);
constexpr std::chrono::milliseconds maxAge = std::chrono::hours(1); // Of a restore; older ones make no difference.

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

// Version of the configuration for which this daemon can vouch: it was confirmed in the history before.
std::uint64_t vouchedVersion(const edge_context &context)
{
    return context.configurationVouched && context.configuration ? context.configuration->version : 0;
}

std::int64_t storeClockMs(const edge_context &context)
{
    return std::max<std::int64_t>(0, context.platform.store.clockMs().value_or(0));
}

duration timeSinceRestore(const edge_context &context, const history_record &record)
{
    const std::int64_t clockMs = storeClockMs(context);
    const std::int64_t ageMs = std::max<std::int64_t>(0, clockMs - *record.restoredAtMs);
    return std::chrono::milliseconds(std::min(ageMs, maxAge.count()));
}

void noteEarlierRestore(edge_context &context, const history_record &record, duration age)
{
    if (context.storeRestoredAt != instant{}) {
        return;
    }
    context.storeRestoredAt = bootNow() - age;
    auto line = context.line("store_restored_before_start");
    line.add("record_history", record.history).add("to_history", context.platform.store.history()).add("configuration", record.configuration);
    line.add("age_ms", toMs(age));
    context.log.write(line);
}

// Takes over what the record says. Returns the record that is to be written: another one in a new history, or the same.
history_record applyRecord(edge_context &context, const std::optional<history_record> &known)
{
    const std::uint64_t history = context.platform.store.history();
    const std::int64_t currentWindow = context.usage.windowAt(context.correctedTimeMs());
    context.historyUnread = false;
    if (known && known->history == history) {
        // The clock of the daemon that wrote the record may be wrong.
        context.reportedBefore = std::max(context.reportedBefore, std::min(known->reportedBefore, currentWindow + 1));
        history_record out = *known;
        if (known->restoredAtMs) {
            const duration age = timeSinceRestore(context, *known);
            noteEarlierRestore(context, *known, age);
            // Later the version says nothing new, and an odd one must not delay each start.
            if (age < configurationFloorTime) {
                noteHeldConfiguration(context, known->configuration);
            }
            out.restoredAtMs = std::min(*known->restoredAtMs, storeClockMs(context)); // A time in the future would delay each start.
        }
        out.configuration = std::max(out.configuration, out.restoredAtMs ? vouchedVersion(context) : 0);
        return out;
    }
    history_record out{.history = history};
    if (known) {
        noteEarlierRestore(context, *known, duration::zero());
    }
    // The copy may be older than the first record.
    if (context.storeRestoredAt != instant{}) {
        out.configuration = vouchedVersion(context);
        out.restoredAtMs = storeClockMs(context);
    }
    // Without a record, nothing is known of the windows before either.
    context.reportedBefore = std::max(context.reportedBefore, currentWindow);
    out.reportedBefore = context.reportedBefore;
    return out;
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
    const auto known = readRecord(context, *stored);
    const auto record = applyRecord(context, known);
    if (record == known) {
        co_return history;
    }
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
    nlohmann::json out{{"history", record.history}, {"reported_before", record.reportedBefore}, {"configuration", record.configuration}};
    if (record.restoredAtMs) {
        out["restored_at_ms"] = *record.restoredAtMs;
    }
    return out.dump();
}

std::optional<history_record> parseHistory(std::string_view encoded)
{
    const auto value = nlohmann::json::parse(encoded, nullptr, false);
    const auto isCount = [&](const char *name) {
        return value.contains(name) && value[name].is_number_unsigned();
    };
    if (!value.is_object() || !isCount("history") || !isCount("reported_before") || !isCount("configuration")) {
        return std::nullopt;
    }
    history_record out{value["history"], value["reported_before"], value["configuration"]};
    if (isCount("restored_at_ms")) {
        constexpr std::uint64_t max = std::numeric_limits<std::int64_t>::max();
        out.restoredAtMs = static_cast<std::int64_t>(std::min(value["restored_at_ms"].get<std::uint64_t>(), max));
    }
    return out;
}

task<void> maintainHistoryRecord(edge_context &context)
{
    std::optional<std::uint64_t> recorded;
    store_backoff backoff;
    while (!context.stopping) {
        if (recorded == context.platform.store.history()) {
            co_await sleepFor(checkInterval);
            continue;
        }
        recorded = co_await recordHistory(context);
        if (recorded) {
            backoff.noteSuccess();
        } else {
            co_await sleepFor(backoff.noteFailure(store_recovery::Probed, context.jitter(), bootNow()));
        }
    }
}

}
