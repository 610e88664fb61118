#pragma once

#include "coordination/lease_keeper.h"
#include "protocol/summary.h"
#include "serving/edge_settings.h"
#include "serving/endpoint_registry.h"
#include "serving/feed_history.h"
#include "serving/part_index.h"
#include "serving/platform_port.h"
#include "serving/retry_budget.h"
#include "serving/serving_config.h"
#include "serving/usage_windows.h"
#include "state/metrics.h"
#include "state/suspect_table.h"
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

/// Another daemon, by its last summary.
struct peer_state
{
    daemon_summary last;
    instant heardAt;
    std::int64_t clockDifferenceMs = 0; ///< Its clock against this machine's.
    bool heard = false;
};

/// When the next summary is due. News of load bring it forward.
struct summary_pace
{
    asio::steady_timer timer;
    instant lastSent;
    instant nextDue;
};

/// A platform table as this daemon took it in, and the answers to other daemons that wait for its next change.
struct relayed_table
{
    feed_history history;
    std::set<asio::steady_timer *> waiting;
};

/// Makes the platform's adapter on the connections of this daemon.
using platform_factory = std::function<platform_port(connection_pool &pool, const edge_settings &settings)>;

/// State that the coroutines of an edge daemon share. One event loop, so no locks.
struct edge_context
{
    edge_context(asio::io_context &io, edge_settings given, const platform_factory &makePlatform, line_log &lines);

    log_line line(std::string_view event) const;
    std::int64_t trueTimeMs() const;
    double roll();
    /// Between two summaries without news.
    duration summaryInterval() const;
    /// A daemon that was not heard for so long counts as lost until its next summary.
    duration peerSilence() const;
    /// Age of the oldest summary among the peers whose load counts.
    double peerAgeMs() const;
    std::vector<std::string> memberIds() const;
    /// Daemons that serve, this one included.
    std::size_t daemons() const;
    /// Ready for callers: configured, in touch with the store, and not shutting down.
    bool serving() const;
    /// A key can be trusted: the store was asked recently enough that no withdrawal is older than the bound.
    bool keysFresh(instant now) const;

    asio::io_context &loop;
    edge_settings settings;
    line_log &log;
    connection_pool pool;
    platform_port platform;
    metrics counters;
    std::mt19937_64 random;
    std::uint64_t incarnation = 0;

    std::shared_ptr<const serving_configuration> configuration; ///< Null until the first one was read.
    std::optional<instant> configurationAskedAt; ///< The configuration held is the newest that was acknowledged before.
    bool endpointsListed = false;
    instant storeFailedAt; ///< Last failure of a call to the store; the epoch when there was none.

    endpoint_registry endpoints;
    part_index parts;
    retry_budget budget;
    suspect_table suspects;
    usage_windows usage;
    std::map<std::string, double> workMs; ///< Moving average by route.

    std::map<std::string, peer_state, std::less<>> peers; ///< By id.
    std::map<std::string, std::string, std::less<>> members; ///< Peer address by id, as stored.
    bool unknownSender = false; ///< A daemon that is not among the members sent a summary.
    bool holdsLease = false; ///< Of the platform duties.
    std::vector<std::uint64_t> reserved; ///< Engines whose role this daemon is changing.
    std::vector<daemon_summary::part_use> freshParts; ///< For the next summary.
    summary_pace pace;
    std::array<relayed_table, 2> feeds; ///< By platform_table.

    bool stopping = false;
    instant stoppingSince;
};

}
