#pragma once

#include "coordination/lease_keeper.h"
#include "serving/admission_state.h"
#include "serving/edge_settings.h"
#include "serving/ejection_watch.h"
#include "serving/endpoint_registry.h"
#include "serving/feed_history.h"
#include "serving/hedge_budget.h"
#include "serving/latency_quantiles.h"
#include "serving/platform_port.h"
#include "serving/prefix_index.h"
#include "serving/quota_ledger.h"
#include "serving/retry_budget.h"
#include "serving/serving_config.h"
#include "serving/shared_sums.h"
#include "serving/state_exchange.h"
#include "serving/suspect_requests.h"
#include "serving/usage_windows.h"
#include "state/metrics.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/line_log.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lacewinglock
{

/// A daemon that is listed in the store, from its row there.
struct member_entry
{
    std::string address; ///< For the state exchange over UDP and relayed feeds over TCP.
    std::string callerAddress;
    std::string failureDomain;
    double capacity = 1; ///< Relative processor and link capacity.
    std::uint64_t history = 0; ///< Of the store when the daemon wrote the row; 0 if it did not know.
    std::uint64_t configuration = 0; ///< Version that the daemon held then; 0 for none.
};

/// Recent changes of a platform table, and the requests of other daemons that wait for the next one.
struct relayed_table
{
    feed_history history;
    std::set<asio::steady_timer *> waiters; ///< One per waiting request; cancelling the timer wakes the request.
};

/// Rows that are committed together, and the writers that wait for the outcome.
struct pending_batch
{
    explicit pending_batch(asio::io_context &io)
        : done(io, asio::steady_timer::time_point::max())
    {
    }

    std::vector<row_write> writes;
    instant due;
    asio::steady_timer done; ///< Cancelled when the outcome is known.
    commit_outcome outcome = commit_outcome::Unknown;
};

/// Creates the platform adapter, which uses the connection pool of this daemon.
using platform_factory = std::function<platform_port(connection_pool &pool, const edge_settings &settings)>;

struct edge_context;

/// Call when the settings have changed: derives the limit of the bodies that are held.
void applyMemorySetting(edge_context &context);

/// Call after an answer of the store: notes when another history of the store is met.
void noteHistory(edge_context &context);

/// How long the version that another daemon noted counts: longer than others take to write again what the store has lost.
inline constexpr auto configurationFloorTime = std::chrono::seconds(30);

/// Notes the version that a daemon held when it met the newest history of the store; 0 says nothing.
void noteHeldConfiguration(edge_context &context, std::uint64_t version);

/// Returns the lowest version of a configuration that may be used. A restored store may list an older one than this daemon or another holds. What another
/// daemon noted counts for a limited time: it may be wrong, or its daemon may never come back.
std::uint64_t requiredConfiguration(const edge_context &context);

/// State shared by the coroutines of an edge daemon. They all run on one event loop, so there are no locks.
struct edge_context
{
    edge_context(asio::io_context &io, edge_settings initialSettings, const platform_factory &makePlatform, line_log &lines);

    /// A new log line for `event`, with the current wall time.
    log_line line(std::string_view event) const;
    /// Wall time in milliseconds, corrected by the clock differences to the peers that are alive.
    std::int64_t correctedTimeMs() const;
    /// A random number, uniform in [0, 1).
    double jitter();
    std::vector<std::string> memberIds() const;
    /// Number of member daemons, including this one; at least 1.
    std::size_t daemons() const;
    /// True when the daemon accepts callers: configuration and endpoints are loaded, API keys are fresh, and it is not shutting down.
    bool serving() const;
    /// True while API keys may be accepted: the configuration is so recent that no revocation older than the revoke bound can be missing.
    bool keysFresh(instant now) const;

    /// What the daemon knows of the others, for quotas.
    quota_fleet quotaFleet() const;

    asio::io_context &loop;
    edge_settings settings;
    line_log &log;
    connection_pool pool;
    platform_port platform;
    metrics counters;
    std::mt19937_64 random;
    std::uint64_t incarnation = 0;

    std::shared_ptr<const serving_configuration> configuration; ///< Null until the first one is read.
    std::optional<instant> configurationRequestedAt; ///< The configuration held contains every change that was acknowledged before this time.
    std::uint64_t configurationHash = 0; ///< Of the row that it was read from.
    std::uint64_t listedConfiguration = 0; ///< Version that the store listed last; 0 if it has listed none in this history.
    std::uint64_t configurationFloor = 0; ///< Newest version that a member held when it met this history of the store.
    instant configurationFloorAt; ///< When it was read.
    bool configurationVouched = false; ///< A daemon that has met both this history of the store and the one before has told which version it held.
    std::optional<std::uint64_t> configurationWrittenIn; ///< The history in which the operator was last seen to write one.
    bool membersUnread = false; ///< The first configuration is not read before: only the members know whether a restored store lists an older one.
    bool endpointsListed = false; ///< The endpoints table was read.
    std::uint64_t storeHistory = 0; ///< The newest that noteHistory() has met.
    bool historyUnread = false; ///< Whether the store was restored before this daemon started is not known: the record of its history is not read.
    instant storeRestoredAt; ///< When the first daemon met the newest history after another one, as far as known; the epoch of the clock if never.
    /// Last failed call of this daemon to the store; the epoch of the clock if none failed. Those of a relay say nothing: it may be cut off alone, and this
    /// daemon asks the store itself when the relay's last call failed.
    instant storeFailedAt;

    endpoint_registry endpoints;
    prefix_index prefixBlocks; ///< Estimates which engines have which prefix blocks cached.
    retry_budget retryBudget;
    shared_sums sums;
    std::vector<std::uint64_t> publishedPaces; ///< Keys of the sums that sharePaces() has set.
    suspect_requests suspects;
    usage_windows usage;
    std::int64_t reportedBefore = 0; ///< Windows before this one may have been reported although a restored store lacks their frozen rows.
    std::map<std::int64_t, usage_counts> frozenUsage; ///< Reported counts of recent windows, as far as this daemon knows them.
    std::map<std::string, double> workMs; ///< Moving average of the processing time, by route name.

    state_exchange exchange;
    asio::steady_timer exchangeTimer; ///< Expires when the exchange has something to send.
    instant exchangeDue; ///< Time for which the timer is set.
    std::map<std::string, daemon_status, std::less<>> peers; ///< The other daemons that are alive, by id.
    std::map<std::string, member_entry, std::less<>> members; ///< By daemon id, from the member rows in the store.
    bool unknownSender = false; ///< A daemon outside the members was heard of; the members are read again.
    bool holdsLease = false; ///< This daemon holds the lease of the platform duties.
    std::size_t nextNotice = 0; ///< Turn of selectReports().
    std::vector<std::uint64_t> reserved; ///< Hashes of engines whose role this daemon is changing.
    std::vector<prefix_use> unsentPrefixUses; ///< To be sent with the next summary.
    std::map<std::pair<std::uint64_t, std::uint64_t>, instant> announcedPrefixes; ///< Time of the last announcement by block and engine.
    std::array<relayed_table, 2> feeds; ///< Indexed by platform_table.
    std::shared_ptr<pending_batch> usageBatch; ///< Usage rows of the own failure domain that the next commit will write; null if there are none.

    latency_quantiles latencies; ///< Of first attempts, for hedging; empty while it is off.
    hedge_budget hedges; ///< Empty while hedging is off.

    bool stopping = false;
    instant stoppingSince; ///< Set when `stopping` is.

    shared_outcomes sharedOutcomes;
    quota_ledger quotas;
    admission_state admission;
};

}
