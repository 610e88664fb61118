#include "serving/table_follower.h"

#include "serving/feed_relay.h"
#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <functional>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

// After a change, others are waited for together: each one costs a call of every daemon that reads the store. At most a fifth of the bound on leaving
// endpoints.
constexpr auto gatherPerDaemon = std::chrono::milliseconds(16); // Endpoints grow in number with the daemons, and so do their changes.
constexpr auto longestGather = std::chrono::milliseconds(400);
constexpr auto freshProofWait = std::chrono::milliseconds(50); // Of a question to the store when the evidence of a relay is too old.
constexpr auto retryPause = std::chrono::milliseconds(150); // Between failed calls: seven a second and daemon, a small part of the store's rate.
constexpr auto failureMemory = std::chrono::milliseconds(2500); // Living endpoints list themselves again within two seconds of the store's return.
constexpr auto memberInterval = std::chrono::seconds(10); // For members whose summaries never arrive; others are read at their first one.
constexpr auto memberTick = std::chrono::milliseconds(500);
const std::string memberPrefix = "member/";

/// How long questions for changes wait, as parts of the bound within which a change must be in force. Evidence of the store is up to two of its
/// waits old, and a question to a relay adds one. Older evidence is of a relay that lost the store, and the store is asked well within the bound.
struct feed_bounds
{
    duration storeWait;
    duration relayWait;
    duration evidenceLimit; ///< Of what a relay tells.
};

constexpr double storeWaitPart = 0.2;
constexpr double relayWaitPart = 0.15;
constexpr double evidencePart = 0.65;
// Longer waits save little. And a silent connection to the store must show soon after a machine counts as in touch again.
constexpr duration longestStoreWait = std::chrono::milliseconds(1200);
constexpr duration ownStoreWait = std::chrono::milliseconds(1800); // Of a daemon on which no other depends; keys may be trusted for five seconds.
constexpr duration longestRelayWait = std::chrono::milliseconds(500);

feed_bounds boundsOf(const edge_settings &settings, platform_table table)
{
    const duration bound = table == platform_table::Configuration ? settings.revokeBound : settings.drainBound;
    const auto part = [&](double share) {
        return std::chrono::duration_cast<duration>(bound * share);
    };
    return {std::min(part(storeWaitPart), longestStoreWait), std::min(part(relayWaitPart), longestRelayWait), part(evidencePart)};
}

/// What a follower does with the rows.
struct table_handler
{
    std::string_view name;
    std::function<void(const table_changes &, bool whole)> apply;
};

void noteStoreFailure(edge_context &context, std::string_view step, const absl::Status &status, bool &failing)
{
    context.storeFailedAt = bootNow();
    context.counters.count(metric_counter::StoreErrors);
    if (!failing) {
        failing = true;
        auto line = context.line("store_lost");
        line.add("step", step).add("error", status.ToString());
        context.log.write(line);
    }
}

void noteStoreAnswer(edge_context &context, std::string_view step, bool &failing)
{
    if (failing) {
        failing = false;
        auto line = context.line("store_regained");
        line.add("step", step);
        context.log.write(line);
    }
}

duration storeWait(const edge_context &context, platform_table table, const feed_role &role)
{
    if (!role.ask.empty()) {
        return freshProofWait;
    }
    return role.relaysForOthers ? boundsOf(context.settings, table).storeWait : ownStoreWait;
}

/// Which daemon a follower asks next; none: the store.
struct feed_source
{
    std::size_t turn = 0; ///< Moves on with each failure of a relay.
    bool askStore = false; ///< A relay failed; the store is asked once.
    instant provedAt; ///< What the follower holds was the newest at that time.
};

// Nothing when the relay gave no answer that is recent enough.
task<std::optional<table_changes>>
readFromRelay(edge_context &context, platform_table table, const table_handler &handler, std::uint64_t version, const feed_role &role, feed_source &source)
{
    const auto bounds = boundsOf(context.settings, table);
    const std::string &relay = role.ask[source.turn % role.ask.size()];
    auto answer = co_await askRelay(context, relay, table, version, bounds.relayWait);
    context.counters.count(metric_counter::RelayReads);
    if (answer.ok() && bootNow() - answer->askedAt <= bounds.evidenceLimit) {
        co_return *std::move(answer);
    }
    if (answer.status().code() == absl::StatusCode::kOutOfRange && bootNow() - source.provedAt <= bounds.evidenceLimit) {
        co_return table_changes{.version = version, .askedAt = source.provedAt};
    }
    ++source.turn;
    source.askStore = true;
    auto line = context.line("relay_failed");
    line.add("step", handler.name).add("peer", relay);
    if (answer.ok()) {
        line.add("age_ms", toMs(bootNow() - answer->askedAt));
    } else {
        line.add("error", answer.status().ToString());
    }
    context.log.write(line);
    co_return std::nullopt;
}

task<void> follow(edge_context &context, platform_table table, table_handler handler)
{
    bool failing = false;
    std::optional<std::uint64_t> version;
    feed_source source;
    while (true) {
        const bool whole = !version;
        const auto role = feedRole(context);
        if (!whole && !role.ask.empty() && !std::exchange(source.askStore, false)) {
            if (const auto relayed = co_await readFromRelay(context, table, handler, *version, role, source)) {
                version = relayed->version;
                source.provedAt = std::max(source.provedAt, relayed->askedAt);
                handler.apply(*relayed, false);
                noteFeed(context, table, *relayed, false);
                continue;
            }
        }
        absl::StatusOr<table_changes> answer = absl::UnknownError("not asked");
        if (whole) {
            answer = co_await context.platform.store.readAll(table);
        } else {
            answer = co_await context.platform.store.changes(table, *version, storeWait(context, table, role));
        }
        context.counters.count(metric_counter::StoreReads);
        if (!answer.ok()) {
            if (answer.status().code() == absl::StatusCode::kOutOfRange) {
                version.reset();
            } else {
                noteStoreFailure(context, handler.name, answer.status(), failing);
            }
            co_await sleepFor(retryPause);
            continue;
        }
        // An older answer than one already seen is stale.
        if (version && answer->version < *version) {
            noteStoreFailure(context, handler.name, absl::DataLossError("stale answer"), failing);
            co_await sleepFor(retryPause);
            continue;
        }
        noteStoreAnswer(context, handler.name, failing);
        version = answer->version;
        source.provedAt = answer->askedAt;
        handler.apply(*answer, whole);
        noteFeed(context, table, *answer, whole);
        if (!answer->rows.empty()) {
            co_await sleepFor(std::min<duration>(gatherPerDaemon * static_cast<int>(context.daemons()), longestGather));
        }
    }
}

void applyConfiguration(edge_context &context, const table_changes &changes)
{
    for (const auto &changed : changes.rows) {
        if (changed.removed) {
            continue;
        }
        auto parsed = context.platform.parsers.configuration(changed.value);
        if (!parsed.ok()) {
            auto line = context.line("configuration_unreadable");
            line.add("key", changed.key).add("error", parsed.status().ToString());
            context.log.write(line);
            continue;
        }
        const std::uint64_t held = context.configuration ? context.configuration->version : 0;
        if (parsed->version <= held) {
            continue;
        }
        indexRoutes(*parsed);
        auto line = context.line("configuration");
        line.add("from", held).add("to", parsed->version).add("routes", parsed->routes.size()).add("services", parsed->services.size());
        line.add("keys", parsed->keys.size());
        context.log.write(line);
        for (const auto &[name, service] : parsed->services) {
            if (service.engine && service.engine->kvTokens > 0) {
                context.parts.setEngineCapacity(service.engine->kvTokens);
            }
        }
        context.configuration = std::make_shared<const serving_configuration>(std::move(*parsed));
    }
    if (context.configuration) {
        // Evidence of another daemon may be older than the own.
        context.configurationAskedAt = std::max(context.configurationAskedAt.value_or(changes.askedAt), changes.askedAt);
    }
}

void applyEndpoints(edge_context &context, const table_changes &changes, bool whole)
{
    const instant now = bootNow();
    const bool storeWasFailing = context.storeFailedAt != instant{} && now - context.storeFailedAt < failureMemory;
    std::vector<std::string> listed;
    for (const auto &changed : changes.rows) {
        if (changed.removed) {
            if (storeWasFailing) {
                context.endpoints.noteMissing(changed.key, now);
            } else {
                context.endpoints.remove(changed.key);
            }
            auto line = context.line("endpoint_gone");
            line.add("endpoint", changed.key).add("kept", storeWasFailing);
            context.log.write(line);
            continue;
        }
        auto parsed = context.platform.parsers.endpoint(changed.key, changed.value);
        if (!parsed.ok()) {
            auto line = context.line("endpoint_unreadable");
            line.add("endpoint", changed.key).add("error", parsed.status().ToString());
            context.log.write(line);
            continue;
        }
        listed.push_back(parsed->id);
        auto line = context.line("endpoint");
        line.add("endpoint", parsed->id).add("service", parsed->service).add("address", parsed->address).add("draining", parsed->draining);
        line.add("domain", parsed->failureDomain)
            .add("reclaimable", parsed->reclaimable)
            .add("role", static_cast<int>(parsed->role.value_or(endpoint_role::Mixed)));
        context.log.write(line);
        context.endpoints.update(std::move(*parsed));
    }
    if (whole) {
        context.endpoints.keepOnly(listed, storeWasFailing, now);
        context.endpointsListed = true;
    }
}

}

task<void> followConfiguration(edge_context &context)
{
    table_handler handler{"follow_configuration", [&context](const table_changes &changes, bool /*whole*/) {
                              applyConfiguration(context, changes);
                          }};
    co_await follow(context, platform_table::Configuration, std::move(handler));
}

task<void> followEndpoints(edge_context &context)
{
    table_handler handler{"follow_endpoints", [&context](const table_changes &changes, bool whole) {
                              applyEndpoints(context, changes, whole);
                          }};
    co_await follow(context, platform_table::Endpoints, std::move(handler));
}

task<void> keepMembership(edge_context &context)
{
    bool failing = false;
    bool stored = false;
    while (!context.stopping) {
        if (!stored) {
            const nlohmann::json value = {{"address", context.settings.peerAddress}, {"incarnation", context.incarnation}};
            transaction change{.writes = {{.key = memberPrefix + context.settings.id, .value = value.dump()}}};
            const auto outcome = co_await context.platform.store.commit(std::move(change));
            context.counters.count(metric_counter::StoreWrites);
            stored = outcome == commit_outcome::Committed;
            if (!stored) {
                noteStoreFailure(context, "write_member", absl::UnavailableError("commit"), failing);
                co_await sleepFor(retryPause);
                continue;
            }
        }
        const auto rows = co_await context.platform.store.scan(memberPrefix);
        context.counters.count(metric_counter::StoreReads);
        if (!rows.ok()) {
            noteStoreFailure(context, "read_members", rows.status(), failing);
            co_await sleepFor(retryPause);
            continue;
        }
        noteStoreAnswer(context, "read_members", failing);
        std::map<std::string, std::string, std::less<>> members;
        for (const auto &row : *rows) {
            const auto value = nlohmann::json::parse(row.value, nullptr, false);
            if (!value.is_object() || !value.contains("address") || !value["address"].is_string()) {
                auto line = context.line("member_unreadable");
                line.add("key", row.key).add("version", row.version);
                context.log.write(line);
                continue;
            }
            members[row.key.substr(memberPrefix.size())] = value["address"].get<std::string>();
        }
        context.members = std::move(members);
        context.unknownSender = false;
        const instant read = bootNow();
        while (!context.stopping && !context.unknownSender && bootNow() - read < memberInterval) {
            co_await sleepFor(memberTick);
        }
    }
}

task<void> leaveMembership(edge_context &context)
{
    transaction change{.writes = {{.key = memberPrefix + context.settings.id, .value = std::nullopt}}};
    const auto outcome = co_await context.platform.store.commit(std::move(change));
    auto line = context.line("member_removed");
    line.add("committed", outcome == commit_outcome::Committed);
    context.log.write(line);
}

}
