#include "serving/edge_daemon.h"

#include "serving/address_selection.h"
#include "serving/caller_exchange.h"
#include "serving/feed_relay.h"
#include "serving/fleet_duty.h"
#include "serving/history_record.h"
#include "serving/lease_runner.h"
#include "serving/pace_samples.h"
#include "serving/peer_exchange.h"
#include "serving/table_follower.h"
#include "serving/usage_duty.h"
#include "serving/usage_relay.h"
#include "transport/boot_clock.h"
#include "transport/spawn.h"
#include "transport/url_query.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <glog/logging.h>
#include <unistd.h>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxAddresses = 64; // Callers use no more addresses of one response.
constexpr auto housekeepingInterval = std::chrono::milliseconds(250);
// An endpoint whose row expired during a store outage may be leaving. It is removed this long before the drain bound ends, so that it gets no new
// requests beyond the bound.
constexpr auto missingEntryMargin = std::chrono::milliseconds(600);
constexpr duration maxSignalDelay = std::chrono::seconds(1); // Less than the margin with which requests are accepted during a stop.
constexpr auto exitMargin = std::chrono::milliseconds(700); // Time from the last response to SIGKILL, for handing over leases.
constexpr auto callerDisconnectTime = std::chrono::milliseconds(3500); // Callers use an address response for its lifetime, some of them longer.

class edge_daemon
{
public:
    edge_daemon(asio::io_context &loop, const edge_settings &settings, const platform_factory &makePlatform, line_log &log, settings_loader reloadSettings);
    void start();

private:
    server_limits limits() const;
    server_hooks hooks(std::function<task<void>(received_request &, server_reply &)> handle);
    task<void> serveReady(received_request &request, server_reply &reply);
    task<void> serveAddresses(received_request &request, server_reply &reply);
    task<void> serveMetrics(received_request &request, server_reply &reply);
    void listen(http_server &server, const std::string &address);
    task<void> watchSignals();
    task<void> runHousekeeping();
    task<void> stop();
    void reload();
    std::string metricsText() const;

    edge_context m_context;
    settings_loader m_reloadSettings;
    http_server m_callers;
    http_server m_ready;
    http_server m_addresses;
    http_server m_metrics;
    http_server m_feeds; ///< For requests of other daemons, on the TCP port of the peer address.
    udp::socket m_peers;
    asio::signal_set m_signals;
    instant m_lastHousekeeping = bootNow();
    lease_runner m_lease;
};

edge_daemon::edge_daemon(asio::io_context &loop,
                         const edge_settings &settings,
                         const platform_factory &makePlatform,
                         line_log &log,
                         settings_loader reloadSettings)
    : m_context(loop, settings, makePlatform, log)
    , m_reloadSettings(std::move(reloadSettings))
    , m_callers(loop, hooks([this](received_request &request, server_reply &reply) {
                    return serveCaller(m_context, request, reply);
                }))
    , m_ready(loop, hooks([this](received_request &request, server_reply &reply) {
                  return serveReady(request, reply);
              }))
    , m_addresses(loop, hooks([this](received_request &request, server_reply &reply) {
                      return serveAddresses(request, reply);
                  }))
    , m_metrics(loop, hooks([this](received_request &request, server_reply &reply) {
                    return serveMetrics(request, reply);
                }))
    , m_feeds(loop, hooks([this](received_request &request, server_reply &reply) {
                  return isUsageWrite(request) ? serveUsageWrite(m_context, request, reply) : serveFeed(m_context, request, reply);
              }))
    , m_peers(loop)
    , m_signals(loop, SIGTERM, SIGHUP, SIGINT)
    , m_lease(m_context, "platform")
{
}

server_limits edge_daemon::limits() const
{
    server_limits out;
    out.maxConnections = m_context.settings.maxConnections;
    if (const auto &configuration = m_context.configuration) {
        out.headerBytes = configuration->maxHeaderBytes;
        out.bodyBytes = configuration->maxBodyBytes;
        out.headerTimeout = configuration->headerTimeout;
        out.idleTimeout = configuration->idleTimeout;
    }
    return out;
}

server_hooks edge_daemon::hooks(std::function<task<void>(received_request &, server_reply &)> handle)
{
    return {
        .handle = std::move(handle),
        .limits =
            [this] {
                return limits();
            },
        .closing =
            [this] {
                return m_context.stopping;
            },
        .errorBody =
            [this](std::string_view reason) {
                return m_context.platform.wire.errorBody("bad_request", reason);
            },
        .unanswered =
            [this](const received_request &request, unanswered_cause cause) {
                auto line = m_context.line("unanswered");
                line.add("id", toView(request.message[fromView(m_context.platform.wire.fields.requestId)])).add("cause", toText(cause));
                line.add("ms", toMs(bootNow() - request.receivedAt));
                m_context.log.write(line);
                m_context.counters.count(metric_counter::RequestsUnanswered);
            },
    };
}

void edge_daemon::listen(http_server &server, const std::string &address)
{
    if (address.empty()) {
        return;
    }
    const auto parsed = parseAddress(address);
    if (!parsed.ok()) {
        throw std::runtime_error("invalid listen address \"" + address + "\": " + parsed.status().ToString());
    }
    try {
        server.listen(*parsed);
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error("cannot listen on " + address + ": " + error.what());
    }
}

void edge_daemon::start()
{
    const auto &settings = m_context.settings;
    auto line = m_context.line("start");
    line.add("daemon", settings.id).add("domain", settings.failureDomain).add("incarnation", m_context.incarnation).add("callers", settings.callerAddress);
    m_context.log.write(line);
    if (const auto peers = parseAddress(settings.peerAddress); peers.ok()) {
        m_peers.open(udp::v4());
        m_peers.bind(udp::endpoint(peers->address(), peers->port()));
        m_peers.non_blocking(true);
    }
    listen(m_ready, settings.readyAddress);
    listen(m_addresses, settings.addressesAddress);
    listen(m_callers, settings.callerAddress);
    listen(m_metrics, settings.metricsAddress);
    listen(m_feeds, settings.peerAddress);
    auto &loop = m_context.loop;
    m_context.historyUnread = true;
    m_context.membersUnread = true;
    spawnDuty(loop, watchSignals(), "watch_signals");
    spawnDuty(loop, followConfiguration(m_context), "follow_configuration");
    spawnDuty(loop, followEndpoints(m_context), "follow_endpoints");
    spawnDuty(loop, maintainHistoryRecord(m_context), "maintain_history_record");
    spawnDuty(loop, maintainMembership(m_context), "maintain_membership");
    if (m_peers.is_open()) {
        spawnDuty(loop, sendExchange(m_context, m_peers), "send_exchange");
        spawnDuty(loop, receiveExchange(m_context, m_peers), "receive_exchange");
    }
    if (settings.reportsUsage) {
        spawnDuty(loop, storeUsage(m_context), "store_usage");
        spawnDuty(loop, reportUsage(m_context, m_lease), "report_usage");
    }
    if (settings.ordersEndpoints) {
        spawnDuty(loop, planEngines(m_context, m_lease), "plan_engines");
    }
    if (settings.reportsUsage || settings.ordersEndpoints) {
        spawnDuty(loop, m_lease.run(), "run_lease");
    }
    spawnDuty(loop, runHousekeeping(), "housekeeping");
}

task<void> edge_daemon::serveReady(received_request &request, server_reply &reply)
{
    const bool pathKnown = toView(request.message.target()).starts_with(m_context.platform.wire.readyPath);
    if (pathKnown && m_context.serving()) {
        http_response answer(http::status::ok, 11);
        answer.body() = "ready\n";
        co_await reply.send(std::move(answer));
    } else {
        co_await reply.send(makeErrorResponse(m_context, pathKnown ? http::status::service_unavailable : http::status::not_found, "not_ready", "not ready"));
    }
}

task<void> edge_daemon::serveAddresses(received_request &request, server_reply &reply)
{
    const auto &wire = m_context.platform.wire;
    const auto target = toView(request.message.target());
    if (!target.starts_with(wire.addressesPath)) {
        co_await reply.send(makeErrorResponse(m_context, http::status::not_found, "not_found", "no such call"));
        co_return;
    }
    std::vector<daemon_candidate> daemons;
    daemons.push_back({
        .id = m_context.settings.id,
        .callerAddress = m_context.settings.callerAddress,
        .failureDomain = m_context.settings.failureDomain,
        .serving = m_context.serving(),
        .capacity = m_context.settings.capacity,
    });
    for (const auto &[id, peer] : m_context.peers) {
        if (const auto member = m_context.members.find(id); member != m_context.members.end()) {
            daemons.push_back({id, member->second.callerAddress, member->second.failureDomain, peer.serving, member->second.capacity});
        }
    }
    const auto addresses = chooseAddresses(daemons, queryValue(target, wire.callerDomainParameter), maxAddresses);
    if (addresses.empty()) {
        co_await reply.send(makeErrorResponse(m_context, http::status::service_unavailable, "no_daemon", "no daemon is ready", 500));
        co_return;
    }
    http_response answer(http::status::ok, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = wire.addressAnswer(addresses, m_context.settings.addressLifetime);
    co_await reply.send(std::move(answer));
}

std::string edge_daemon::metricsText() const
{
    std::string text = m_context.counters.text();
    absl::StrAppend(&text, "lacewinglock_log_lines_dropped_total ", m_context.log.dropped(), "\n");
    absl::StrAppend(&text, "lacewinglock_caller_connections ", m_callers.connections(), "\n");
    absl::StrAppend(&text, "lacewinglock_held_body_bytes ", m_context.pool.bodies()->held(), "\n");
    absl::StrAppend(&text, "lacewinglock_bodies_given_up_total ", m_context.pool.bodies()->givenUp(), "\n");
    absl::StrAppend(&text, "lacewinglock_members ", m_context.members.size(), "\n");
    absl::StrAppend(&text, "lacewinglock_configuration_version ", m_context.configuration ? m_context.configuration->version : 0, "\n");
    return text;
}

task<void> edge_daemon::serveMetrics(received_request & /*request*/, server_reply &reply)
{
    http_response answer(http::status::ok, 11);
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = metricsText();
    co_await reply.send(std::move(answer));
}

task<void> edge_daemon::watchSignals()
{
    while (true) {
        boost::system::error_code error;
        const int number = co_await m_signals.async_wait(errorTo(error));
        if (error) {
            co_return;
        }
        if (number == SIGHUP) {
            reload();
        } else if (!m_context.stopping) {
            m_context.stopping = true;
            // The signal may have come at any time since the last turn without it. After a longer pause, its time is unknown.
            m_context.stoppingSince = std::max(m_lastHousekeeping, bootNow() - maxSignalDelay);
            spawnDuty(m_context.loop, stop(), "stop");
        }
    }
}

void edge_daemon::reload()
{
    auto settings = m_reloadSettings();
    auto line = m_context.line("reload");
    if (!settings.ok()) {
        line.add("error", settings.status().ToString());
    } else {
        // The id and the addresses in use stay those of the running process; limits and model parameters take effect at once.
        settings->id = m_context.settings.id;
        settings->callerAddress = m_context.settings.callerAddress;
        settings->peerAddress = m_context.settings.peerAddress;
        m_context.settings = std::move(*settings);
        applyMemorySetting(m_context);
        line.add("ok", true);
    }
    m_context.log.write(line);
}

task<void> edge_daemon::runHousekeeping()
{
    while (true) {
        m_lastHousekeeping = bootNow();
        co_await sleepFor(housekeepingInterval);
        m_context.pool.expire();
        sharePaces(m_context);
        m_context.endpoints.expireMissing(bootNow(), m_context.settings.drainBound - missingEntryMargin);
        shareOutcomes(m_context.endpoints, m_context.sums, m_context.sharedOutcomes, bootNow());
        m_context.log.flush();
    }
}

// Shutdown in four steps:
// 1. The daemon reports that it is not ready, and its next summary removes it from the address responses of all daemons.
// 2. Callers move to other daemons; requests that still arrive are served.
// 3. Idle connections are closed.
// 4. The process exits once no request is running, or shortly before SIGKILL.
task<void> edge_daemon::stop()
{
    auto begin = m_context.line("stopping");
    begin.add("requests", static_cast<std::uint64_t>(m_callers.requests())).add("connections", static_cast<std::uint64_t>(m_callers.connections()));
    m_context.log.write(begin);
    spawnBackground(m_context.loop, leaveMembership(m_context), "leave_membership");
    const instant exitBy = m_context.stoppingSince + m_context.settings.shutdownGrace - exitMargin;
    while (bootNow() < exitBy) {
        if (bootNow() - m_context.stoppingSince > callerDisconnectTime) {
            m_callers.closeIdle();
            if (m_callers.connections() == 0) {
                break;
            }
        }
        co_await sleepFor(std::chrono::milliseconds(50));
    }
    auto end = m_context.line("stop");
    end.add("requests", static_cast<std::uint64_t>(m_callers.requests()));
    m_context.log.write(end);
    m_context.log.flush();
    m_context.loop.stop();
}

}

int runEdgeDaemon(const edge_settings &settings, const settings_loader &reloadSettings, const platform_factory &makePlatform)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context loop(1);
    line_log log(STDOUT_FILENO);
    edge_daemon daemon(loop, settings, makePlatform, log, reloadSettings);
    daemon.start();
    try {
        loop.run();
    } catch (const std::exception &error) {
        LOG(ERROR) << "the daemon ends: " << error.what();
        return 1;
    }
    return 0;
}

}
