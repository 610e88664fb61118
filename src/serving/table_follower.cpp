#include "serving/table_follower.h"

#include "serving/feed_relay.h"
#include "serving/peer_exchange.h"
#include "serving/store_backoff.h"
#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <tuple>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

// After a change, the next request waits so that it returns several changes together, because each one costs a call of every daemon that reads the
// store. The delay is at most a fifth of the drain bound.
constexpr auto changeDelayPerDaemon = std::chrono::milliseconds(16); // The number of endpoints grows with the daemons, and so does the rate of changes.
constexpr auto maxChangeDelay = std::chrono::milliseconds(400);
constexpr auto fallbackStoreWait = std::chrono::milliseconds(50); // Of the request to the store after a relay failed or sent old data.
constexpr auto relayRetryPause = std::chrono::milliseconds(150); // Between two questions to the relays while the store fails them too.
constexpr auto storeRecoveryTime = std::chrono::milliseconds(2500); // Running endpoints list themselves again within 2 s of the store's return.
// An outage that was shorter can't have made the entries of running endpoints expire: that takes three heartbeats of 1.2 s, and the last one may have been
// sent just before.
constexpr auto shortestExpiry = std::chrono::milliseconds(2400);
constexpr auto memberReadInterval = std::chrono::seconds(10); // Finds members whose summaries never arrive; the first summary of others causes a read.
constexpr auto memberRewriteTime = std::chrono::seconds(5); // Within it, daemons that reach a restored store write their rows again.
constexpr auto maxStartDelay = std::chrono::seconds(2); // Of a daemon that starts, while rows of members are older than the history of the store.
// A daemon that has lived through a restore can lack only a change that it had not read before. Longer, and keys that were confirmed before the store went
// away would expire.
constexpr duration maxVouchedWait = std::chrono::seconds(1);
constexpr auto startCheckInterval = std::chrono::milliseconds(20);
constexpr auto memberCheckInterval = std::chrono::milliseconds(500);
constexpr double maxCapacity = 1e6; // Of a member; its settings have the same bound.
const std::string memberPrefix = "member/";

nlohmann::json encodeMember(const edge_context &context)
{
    const auto &settings = context.settings;
    return {{"address", settings.peerAddress},
            {"caller_address", settings.callerAddress},
            {"failure_domain", settings.failureDomain},
            {"capacity", settings.capacity},
            {"incarnation", context.incarnation},
            {"history", context.platform.store.history()},
            {"configuration", context.configuration && context.configurationRequestedAt ? context.configuration->version : 0}};
}

// Returns nullopt for a malformed row.
std::optional<member_entry> parseMember(std::string_view text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    const auto isText = [&](const char *name) {
        return value.contains(name) && value[name].is_string();
    };
    if (!value.is_object() || !isText("address") || !isText("caller_address") || !isText("failure_domain") || !value.contains("capacity")
        || !value["capacity"].is_number()) {
        return std::nullopt;
    }
    const double capacity = value["capacity"];
    if (capacity <= 0 || capacity > maxCapacity) {
        return std::nullopt;
    }
    const auto count = [&](const char *name) -> std::uint64_t {
        return value.contains(name) && value[name].is_number_unsigned() ? value[name].get<std::uint64_t>() : 0;
    };
    return member_entry{value["address"], value["caller_address"], value["failure_domain"], capacity, count("history"), count("configuration")};
}

// Fractions of the bound.
constexpr double storeWaitFraction = 0.2;
constexpr double relayWaitFraction = 0.15;
constexpr double relayDataAgeFraction = 0.65;
// Longer waits save little. Besides, a dead connection to the store must be noticed soon after the machine counts as connected again.
constexpr duration maxStoreWait = std::chrono::milliseconds(1200);
constexpr duration leafStoreWait = std::chrono::milliseconds(1800); // Of a daemon that relays for no other; API keys may be trusted for 5 s.
constexpr duration maxRelayWait = std::chrono::milliseconds(500);

/// What an answer of the store holds.
enum class table_scope {
    Changes,
    Whole, ///< The whole table.
    Restored ///< The whole table, from the older copy that the store came back from.
};

/// Applies the rows of a followed table.
struct table_handler
{
    std::string_view name; ///< The step in log lines.
    /// `heldUntil`: when the rows held before were known to be the newest.
    std::function<void(const table_changes &, table_scope, instant heldUntil)> apply;
};

// A restored store may lack rows of daemons that are alive; they write them again as soon as they meet it.
void keepLostMembers(const edge_context &context, std::map<std::string, member_entry, std::less<>> &members)
{
    if (context.storeRestoredAt == instant{} || bootNow() - context.storeRestoredAt > memberRewriteTime) {
        return;
    }
    for (const auto &[id, member] : context.members) {
        if (context.peers.contains(id)) {
            members.try_emplace(id, member);
        }
    }
}

// True for a configuration that was not taken because of the row of a member, when that has ceased to count.
bool isListedUnused(const edge_context &context)
{
    return !context.configuration && context.listedConfiguration != 0 && context.listedConfiguration >= requiredConfiguration(context);
}

void noteConfigurations(edge_context &context, const std::map<std::string, member_entry, std::less<>> &members)
{
    for (const auto &[id, member] : members) {
        if (member.history == context.platform.store.history()) {
            noteHeldConfiguration(context, member.configuration);
        }
    }
}

// Returns since when a read of the configuration proves that no newer one was acknowledged before; nothing if that is not known yet. A restored store may
// lack the newest one until the operator writes it again.
std::optional<instant> conclusiveSince(const edge_context &context)
{
    if (context.historyUnread) {
        return std::nullopt;
    }
    if (context.storeRestoredAt == instant{} || context.configurationWrittenIn == context.platform.store.history()) {
        return instant{};
    }
    const duration wait = context.settings.operatorRewriteTime;
    return context.storeRestoredAt + (context.configurationVouched ? std::min(wait, maxVouchedWait) : wait);
}

// Rows that came back with the copy and that their daemons have not written again.
bool hasOutdatedRow(const edge_context &context, const std::map<std::string, member_entry, std::less<>> &members)
{
    return std::ranges::any_of(members, [&](const auto &member) {
        return member.second.history != 0 && member.second.history < context.platform.store.history();
    });
}

/// The time for which a daemon that starts waits for the members, from its first answer of this history on.
struct start_wait
{
    std::uint64_t history = 0;
    instant since;
};

bool mayWait(start_wait &wait, std::uint64_t history)
{
    if (history != wait.history) {
        wait = {history, bootNow()};
    }
    return history == 0 || bootNow() - wait.since < maxStartDelay;
}

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

void noteStoreSuccess(edge_context &context, std::string_view step, bool &failing)
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
    if (!role.relays.empty()) {
        return fallbackStoreWait;
    }
    const duration wait = role.relaysForOthers ? feedBounds(context.settings, table).storeWait : leafStoreWait;
    if (table == platform_table::Endpoints) {
        return wait;
    }
    // Until a read is conclusive, keys may be unknown: the next one is not put off.
    const auto since = conclusiveSince(context);
    const duration left = since ? *since - bootNow() : duration::zero();
    return since && left <= duration::zero() ? wait : std::clamp<duration>(left, fallbackStoreWait, wait);
}

/// State from which a follower selects the relay or the store for its next request.
struct feed_source
{
    std::size_t relayTurn = 0; ///< Index of the relay, modulo the number of relays; each failure of a relay increments it.
    bool queryStore = false; ///< A relay failed: the next request goes to the store.
    instant verifiedAt; ///< Time at which the rows held were the newest.
};

/// A question to a relay.
struct relay_question
{
    std::uint64_t version = 0; ///< Of the rows held.
    bool storeFails = false; ///< This daemon's calls to the store fail. The relay is asked whether its own succeed again, however old the rows are.
};

// Returns nothing when the relay fails or its data is too old.
task<std::optional<table_changes>>
readFromRelay(edge_context &context, platform_table table, const table_handler &handler, relay_question question, const feed_role &role, feed_source &source)
{
    const std::uint64_t version = question.version;
    const auto bounds = feedBounds(context.settings, table);
    const std::string &relay = role.relays[source.relayTurn % role.relays.size()];
    // A relay that does not answer must not make the rows held older than the data of a relay may be.
    const instant latest = question.storeFails ? instant::max() : source.verifiedAt + bounds.maxRelayDataAge;
    const duration wait = question.storeFails ? duration::zero() : bounds.relayWait;
    auto answer = co_await queryRelay(context, relay, table, version, wait, latest);
    context.counters.count(metric_counter::RelayReads);
    if (answer.ok() && bootNow() - answer->requestedAt <= bounds.maxRelayDataAge) {
        co_return *std::move(answer);
    }
    if (answer.status().code() == absl::StatusCode::kOutOfRange && bootNow() - source.verifiedAt <= bounds.maxRelayDataAge) {
        co_return table_changes{.version = version, .requestedAt = source.verifiedAt};
    }
    ++source.relayTurn;
    source.queryStore = true;
    auto line = context.line("relay_failed");
    line.add("step", handler.name).add("peer", relay);
    if (answer.ok()) {
        line.add("age_ms", toMs(bootNow() - answer->requestedAt));
    } else {
        line.add("error", answer.status().ToString());
    }
    context.log.write(line);
    co_return std::nullopt;
}

task<void> follow(edge_context &context, platform_table table, table_handler handler)
{
    bool failing = false;
    std::optional<std::uint64_t> version; // Kept while a snapshot is read again, so that an older one is dropped.
    bool snapshot = true;
    std::uint64_t history = 0; // That the rows held belong to.
    feed_source source;
    store_backoff backoff;
    while (true) {
        if (table == platform_table::Configuration) {
            while (context.membersUnread) {
                co_await sleepFor(startCheckInterval);
            }
            snapshot = snapshot || isListedUnused(context);
        }
        const auto role = feedRole(context);
        if (!snapshot && !role.relays.empty() && !std::exchange(source.queryStore, false)) {
            const relay_question question{.version = *version, .storeFails = !backoff.isDue(bootNow())};
            if (const auto relayed = co_await readFromRelay(context, table, handler, question, role, source)) {
                backoff.noteSuccess();
                version = relayed->version;
                const instant heldUntil = source.verifiedAt;
                source.verifiedAt = std::max(source.verifiedAt, relayed->requestedAt);
                handler.apply(*relayed, table_scope::Changes, heldUntil);
                publishChanges(context, table, *relayed, false);
                continue;
            }
            if (!backoff.isDue(bootNow())) {
                source.queryStore = false;
                co_await sleepFor(relayRetryPause);
                continue;
            }
        }
        const bool hasRelays = !snapshot && !role.relays.empty();
        const auto pauseAfterFailure = [&] {
            const auto recovery = hasRelays ? store_recovery::Relayed : store_recovery::Probed;
            const duration pause = backoff.noteFailure(recovery, context.jitter(), bootNow());
            return sleepFor(hasRelays ? std::min<duration>(pause, relayRetryPause) : pause);
        };
        absl::StatusOr<table_changes> answer = absl::UnknownError("no request was sent to the store");
        if (snapshot) {
            answer = co_await context.platform.store.readAll(table);
        } else {
            answer = co_await context.platform.store.changes(table, *version, storeWait(context, table, role));
        }
        context.counters.count(metric_counter::StoreReads);
        noteHistory(context);
        if (table == platform_table::Configuration && context.membersUnread) {
            continue; // The members were read in an earlier history.
        }
        if (!answer.ok()) {
            if (answer.status().code() == absl::StatusCode::kOutOfRange) {
                snapshot = true;
            } else {
                noteStoreFailure(context, handler.name, answer.status(), failing);
            }
            co_await pauseAfterFailure();
            continue;
        }
        // An answer that is older than the rows held is stale.
        if (version && answer->version < *version) {
            noteStoreFailure(context,
                             handler.name,
                             absl::DataLossError(absl::StrCat("store answered with version ", answer->version, ", older than version ", *version)),
                             failing);
            co_await pauseAfterFailure();
            continue;
        }
        noteStoreSuccess(context, handler.name, failing);
        backoff.noteSuccess();
        const bool restored = version && snapshot && history != context.platform.store.history();
        if (snapshot) {
            history = context.platform.store.history();
        }
        version = answer->version;
        const instant heldUntil = std::exchange(source.verifiedAt, answer->requestedAt);
        if (table == platform_table::Configuration && !snapshot && !answer->rows.empty()) {
            context.configurationWrittenIn = history;
        }
        handler.apply(*answer, restored ? table_scope::Restored : snapshot ? table_scope::Whole : table_scope::Changes, heldUntil);
        publishChanges(context, table, *answer, snapshot);
        snapshot = false;
        if (!answer->rows.empty()) {
            co_await sleepFor(std::min<duration>(changeDelayPerDaemon * static_cast<int>(context.daemons()), maxChangeDelay));
        }
    }
}

// A restored store may list an older configuration than this daemon holds, or none, until the operator writes the newer one again. The configuration held
// stays in force, but is not confirmed: a newer one may be lost as well.
void applyConfiguration(edge_context &context, const table_changes &changes, table_scope scope)
{
    if (scope == table_scope::Restored) {
        context.listedConfiguration = 0;
    }
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
        context.listedConfiguration = parsed->version;
        if (parsed->version < requiredConfiguration(context)) {
            auto line = context.line("configuration_outdated");
            line.add("version", parsed->version).add("held", held).add("floor", context.configurationFloor);
            context.log.write(line);
            continue;
        }
        // In another history, the operator may give a version out again.
        const auto hash = XXH3_64bits(changed.value.data(), changed.value.size());
        if (parsed->version == held && hash == context.configurationHash) {
            continue;
        }
        context.configurationHash = hash;
        indexRoutes(*parsed);
        auto line = context.line("configuration");
        line.add("from", held).add("to", parsed->version).add("routes", parsed->routes.size()).add("services", parsed->services.size());
        line.add("keys", parsed->keys.size());
        context.log.write(line);
        for (const auto &[name, service] : parsed->services) {
            if (service.engine && service.engine->kvTokens > 0) {
                context.prefixBlocks.setEngineCapacity(service.engine->kvTokens);
            }
        }
        context.configuration = std::make_shared<const serving_configuration>(std::move(*parsed));
    }
    const auto since = conclusiveSince(context);
    const bool conclusive = since && changes.requestedAt >= *since;
    if (context.configuration && context.listedConfiguration >= requiredConfiguration(context) && conclusive) {
        // The data of a relay may be older than a previous answer of the store.
        context.configurationRequestedAt = std::max(context.configurationRequestedAt.value_or(changes.requestedAt), changes.requestedAt);
    }
}

void applyEndpoints(edge_context &context, const table_changes &changes, table_scope scope, instant heldUntil)
{
    const instant now = bootNow();
    // After a short gap, the entry may have been removed because the endpoint leaves, and the drain bound has begun at any time of the gap.
    const instant missingSince = now - heldUntil < shortestExpiry ? heldUntil : now;
    const auto isRecent = [now](instant event) {
        return event != instant{} && now - event < storeRecoveryTime;
    };
    const bool storeFailedRecently = isRecent(context.storeFailedAt) || isRecent(context.storeRestoredAt);
    std::vector<std::string> listed;
    for (const auto &changed : changes.rows) {
        if (changed.removed) {
            if (storeFailedRecently) {
                context.endpoints.noteMissing(changed.key, missingSince);
            } else {
                context.endpoints.remove(changed.key, now);
            }
            auto line = context.line("endpoint_gone");
            line.add("endpoint", changed.key).add("kept", storeFailedRecently);
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
        if (scope == table_scope::Restored) {
            context.endpoints.updateFromCopy(std::move(*parsed), now);
        } else {
            context.endpoints.update(std::move(*parsed));
        }
    }
    if (scope != table_scope::Changes) {
        context.endpoints.reconcile(listed, storeFailedRecently, now);
        context.endpointsListed = true;
    }
}

// Returns the history of the store that the row was written to, or nothing if the commit failed.
task<std::optional<std::uint64_t>> writeMember(edge_context &context)
{
    const std::string key = memberPrefix + context.settings.id;
    if (context.platform.store.history() == 0) {
        std::ignore = co_await context.platform.store.read(key); // The row names the history.
        context.counters.count(metric_counter::StoreReads);
        noteHistory(context);
    }
    const std::uint64_t before = context.platform.store.history();
    const nlohmann::json value = encodeMember(context);
    transaction change{.writes = {{.key = key, .value = value.dump()}}};
    const auto outcome = co_await context.platform.store.commit(std::move(change));
    context.counters.count(metric_counter::StoreWrites);
    noteHistory(context);
    if (outcome != commit_outcome::Committed) {
        co_return std::nullopt;
    }
    co_return before != 0 ? before : context.platform.store.history();
}

std::map<std::string, member_entry, std::less<>> parseMembers(const edge_context &context, std::span<const row> rows)
{
    std::map<std::string, member_entry, std::less<>> out;
    for (const auto &row : rows) {
        auto member = parseMember(row.value);
        if (!member) {
            auto line = context.line("member_unreadable");
            line.add("key", row.key).add("version", row.version);
            context.log.write(line);
            continue;
        }
        out[row.key.substr(memberPrefix.size())] = std::move(*member);
    }
    return out;
}

}

feed_bounds feedBounds(const edge_settings &settings, platform_table table)
{
    const duration bound = table == platform_table::Configuration ? std::min(settings.configurationBound, settings.revokeBound) : settings.drainBound;
    const auto ofBound = [&](double fraction) {
        return std::chrono::duration_cast<duration>(bound * fraction);
    };
    return {std::min(ofBound(storeWaitFraction), maxStoreWait), std::min(ofBound(relayWaitFraction), maxRelayWait), ofBound(relayDataAgeFraction)};
}

task<void> followConfiguration(edge_context &context)
{
    table_handler handler{"follow_configuration", [&context](const table_changes &changes, table_scope scope, instant /*heldUntil*/) {
                              applyConfiguration(context, changes, scope);
                          }};
    co_await follow(context, platform_table::Configuration, std::move(handler));
}

task<void> followEndpoints(edge_context &context)
{
    table_handler handler{"follow_endpoints", [&context](const table_changes &changes, table_scope scope, instant heldUntil) {
                              applyEndpoints(context, changes, scope, heldUntil);
                          }};
    co_await follow(context, platform_table::Endpoints, std::move(handler));
}

task<void> maintainMembership(edge_context &context)
{
    bool writeFailing = false;
    bool readFailing = false;
    std::optional<std::uint64_t> history; // That the row was written to; none while it could not be written.
    start_wait wait;
    store_backoff backoff;
    const auto pauseAfterFailure = [&] {
        const auto recovery = feedRole(context).relays.empty() ? store_recovery::Probed : store_recovery::Relayed;
        return sleepFor(backoff.noteFailure(recovery, context.jitter(), bootNow()));
    };
    const auto isLost = [&] {
        return history != context.platform.store.history();
    };
    while (!context.stopping) {
        if (isLost()) {
            history = co_await writeMember(context);
            if (history) {
                noteStoreSuccess(context, "write_member", writeFailing);
            } else {
                noteStoreFailure(context, "write_member", absl::UnavailableError("commit of the member row failed"), writeFailing);
            }
        }
        const auto rows = co_await context.platform.store.scan(memberPrefix);
        context.counters.count(metric_counter::StoreReads);
        noteHistory(context);
        if (!rows.ok()) {
            noteStoreFailure(context, "read_members", rows.status(), readFailing);
            context.membersUnread = context.membersUnread && mayWait(wait, context.platform.store.history());
            co_await pauseAfterFailure();
            continue;
        }
        noteStoreSuccess(context, "read_members", readFailing);
        auto members = parseMembers(context, *rows);
        noteConfigurations(context, members);
        const instant readAt = bootNow();
        context.membersUnread = context.membersUnread && mayWait(wait, context.platform.store.history()) && hasOutdatedRow(context, members);
        keepLostMembers(context, members);
        updateMembers(context, std::move(members));
        context.unknownSender = false;
        if (!history) {
            co_await pauseAfterFailure();
        } else {
            backoff.noteSuccess();
        }
        const duration interval = context.membersUnread ? memberCheckInterval : memberReadInterval;
        while (!context.stopping && !isLost() && !context.unknownSender && bootNow() - readAt < interval) {
            co_await sleepFor(memberCheckInterval);
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
