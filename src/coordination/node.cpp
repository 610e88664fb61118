#include "coordination/node.h"

#include "coordination/caller_routes.h"
#include "coordination/peer_login.h"
#include "protocol/errors.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"
#include "state/process_gauges.h"
#include "state/rendezvous.h"
#include "transport/caller_server.h"

#include <algorithm>
#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr auto usageFlushTimeout = std::chrono::seconds(15); // A few flush intervals. What is not written by then is not lost, because a peer holds copies.
constexpr auto leaseReleaseTimeout = std::chrono::seconds(8); // Longer than a lease term, after which unreleased leases have expired anyway.
constexpr std::size_t recentDecisionBytes = 8U << 20U;
constexpr auto rejectionTime = std::chrono::seconds(1); // Callers on open connections get a 503 response for this long before the listener closes.

instant steadyNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::string makeIncarnation()
{
    std::string text;
    for (const auto byte : makeLoginNonce()) {
        text.push_back("0123456789abcdef"[byte % 16]);
    }
    return text.substr(0, 16);
}

std::string joinAddress(const socket_address &address, int port)
{
    return address.host + ":" + std::to_string(port);
}

}

node::node(daemon_settings settings)
    : m_settings(std::move(settings))
    , m_incarnation(makeIncarnation())
    , m_now(steadyNow)
    , m_startedAt(m_now())
    , m_store(std::make_shared<http_table>(m_settings.platform.host, m_settings.platform.port, &m_metrics))
    , m_recentDecisions(recentDecisionBytes)
    , m_decisions(m_settings.decisionLog, &m_recentDecisions)
    , m_editor(storeCalls(m_store), m_config)
    , m_rosterKeeper(m_settings.cell, m_settings.instanceId)
    , m_orderKeeper(m_settings.cell)
    , m_provisionKeeper(m_settings.cell)
    , m_fleetController(m_orderKeeper,
                        m_provisionKeeper,
                        [this](const decision_record &record) {
                            m_decisions.write(record);
                        })
    , m_usageKeeper(m_settings.cell)
    , m_usageBatcher(m_settings.cell, m_settings.instanceId, m_incarnation, m_usage)
    , m_follower(m_config)
    , m_link(std::make_unique<peer_link>(m_loop, m_settings.instanceId, m_settings.clusterSecret, m_now, makeLinkCallbacks()))
    , m_poller(std::make_unique<load_poller>(m_settings.instanceId, m_endpoints, m_now, tunables::pollThreads, &m_metrics))
    , m_fleetWatch(std::make_unique<fleet_watch>(
          m_settings.platform,
          [this] {
              postToControlThread([this](instant) {
                  updateEndpoints();
              });
          },
          &m_metrics))
    , m_runner(std::make_unique<effect_runner>(effect_runner::environment{.store = m_store,
                                                                          .platform = m_settings.platform,
                                                                          .now = m_now,
                                                                          .endpointAddress =
                                                                              [this](const std::string &id) {
                                                                                  return endpointAddress(id);
                                                                              }},
                                               tunables::effectThreads))
    , m_servingContext(makeServingContext())
    , m_operatorContext(makeOperatorContext())
{
    m_usage.setReplicate([this](const usage_record &record) {
        return replicateUsage(record);
    });
    m_usage.setRelease([this](const std::vector<std::string> &ids) {
        releaseUsage(ids);
    });
    m_poller->setOnLeaving([this] {
        postToControlThread([this](instant now) {
            m_link->sendHeartbeats(makeHeartbeat(now));
        });
    });
    registerStateMachines();
}

node::~node()
{
    if (m_server) {
        m_server->stop();
    }
    if (m_serverThread.joinable()) {
        m_serverThread.join();
    }
    stopControl();
    m_runner.reset();
    m_poller.reset();
    m_fleetWatch.reset();
    m_link.reset();
}

// Registers all control state machines, first the leases, which the duties depend on.
void node::registerStateMachines()
{
    const lease_keeper &rosterLease = addLease("roster");
    const lease_keeper &orderLease = addLease("orders");
    const lease_keeper &provisionLease = addLease("provision");
    const lease_keeper &usageLease = addLease("usage");
    addStateMachine("roster", m_rosterKeeper, &rosterLease);
    addStateMachine("orders", m_orderKeeper, &orderLease);
    addStateMachine("provision", m_provisionKeeper, &provisionLease);
    addStateMachine("usage", m_usageKeeper, &usageLease);
    addStateMachine("usage batches", m_usageBatcher);
    addStateMachine("claims", m_claimCleaner);
    m_stateMachines.push_back({.name = "configuration", .handle = [this](const auto &event, instant now, auto &out) {
                                   const std::lock_guard lock(m_followerMutex);
                                   m_follower.handle(event, now, out);
                               }});
    m_stateMachines.push_back({.name = "instances", .handle = [this](const auto &event, instant now, auto &out) {
                                   handleInstances(event, now, out);
                               }});
}

template <typename StateMachine>
void node::addStateMachine(const std::string &name, StateMachine &target, const lease_keeper *lease)
{
    m_stateMachines.push_back({.name = name, .handle = [this, &target, lease](const auto &event, instant now, auto &out) {
                                   if constexpr (requires { target.setGrant(std::optional<lease_grant>()); }) {
                                       target.setGrant(lease == nullptr || m_releasingLeases ? std::nullopt : lease->grant(now));
                                   }
                                   target.handle(event, now, out);
                               }});
}

lease_keeper &node::addLease(const std::string &duty)
{
    auto &lease = *m_leases.emplace_back(std::make_unique<lease_keeper>(m_settings.cell, duty, m_settings.instanceId + "/" + m_incarnation));
    m_stateMachines.push_back({
        .name = "lease " + duty,
        .handle =
            [&lease](const auto &event, instant now, auto &out) {
                lease.handle(event, now, out);
            },
        .release =
            [&lease](instant now, auto &out) {
                lease.release(now, out);
            },
    });
    return lease;
}

// Requests the platform's instance list every few seconds and connects to the daemons on it.
void node::handleInstances(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (std::holds_alternative<tick_event>(event) && now >= m_nextListAt) {
        m_nextListAt = now + tunables::instanceListInterval;
        out.emplace_back(list_instances_effect{.op = ++m_listOp});
    }
    const auto *listed = std::get_if<instances_event>(&event);
    if (listed == nullptr) {
        return;
    }
    if (!listed->result.ok()) {
        m_metrics.count(metric_counter::StoreErrors);
        LOG_EVERY_N(WARNING, 10) << listed->result.status().message();
        return;
    }
    m_listedInstances = *listed->result;
    m_rosterKeeper.setInstances(m_listedInstances);
    std::vector<peer_address> peers;
    for (const auto &instance : m_listedInstances) {
        if (instance.id != m_settings.instanceId) {
            peers.push_back({.id = instance.id, .address = instance.address});
        }
    }
    m_link->setPeers(peers);
}

absl::Status node::start()
{
    try {
        m_peerPort
            = m_loop.listen(m_settings.peer.host, m_settings.peer.port, makePeerServer(m_settings.instanceId, m_settings.clusterSecret, makePeerHandlers()));
    } catch (const kj::Exception &error) {
        return makeError(absl::StatusCode::kUnavailable, "open peer interface", "local", error.getDescription().cStr());
    }
    if (auto opened = startCallerInterface(); !opened.ok()) {
        return opened;
    }
    m_controlThread = std::thread([this] {
        runControl();
    });
    return absl::OkStatus();
}

absl::Status node::startCallerInterface()
{
    const auto &tls = m_settings.tls;
    if (tls.certificateFile.empty()) {
        m_server = std::make_unique<caller_server>();
    } else {
        m_server = std::make_unique<caller_server>(tls.certificateFile, tls.keyFile);
    }
    if (!m_server->is_valid()) {
        return makeError(absl::StatusCode::kInvalidArgument,
                         "open caller interface",
                         "local",
                         "cannot load TLS certificate " + tls.certificateFile + " or key " + tls.keyFile);
    }
    m_server->new_task_queue = [threads = m_settings.callerThreads] {
        return new httplib::ThreadPool(static_cast<std::size_t>(threads));
    };
    m_server->set_payload_max_length(tunables::maxBodyBytes);
    registerRoutes();
    const auto &address = m_settings.caller;
    m_callerPort = address.port == 0 ? m_server->bind_to_any_port(address.host) : address.port;
    if (m_callerPort <= 0 || (address.port != 0 && !m_server->bind_to_port(address.host, address.port))) {
        return makeError(absl::StatusCode::kUnavailable, "open caller interface", "local", "cannot listen on " + joinAddress(address, address.port));
    }
    m_serverThread = std::thread([this] {
        m_server->listen_after_bind();
    });
    // The kernel queues connections as soon as the port is bound. The wait is for stop(), which works only once the server is running.
    while (!m_server->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return absl::OkStatus();
}

void node::registerRoutes()
{
    m_server->set_pre_routing_handler([this](const httplib::Request &, httplib::Response &response) {
        if (!m_rejectingRequests) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        const nlohmann::json error = {{"code", "draining"}, {"message", "this daemon is shutting down"}, {"run_state", "not_run"}, {"retry_after_ms", 0}};
        response.status = 503;
        response.set_header("Connection", "close");
        response.set_content(nlohmann::json{{"error", error}}.dump(), "application/json");
        return httplib::Server::HandlerResponse::Handled;
    });
    m_server->Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(m_metrics.text() + processGauges(), "text/plain; version=0.0.4");
    });
    registerOperatorRoutes(*m_server, m_operatorContext);
    registerCallerRoutes(*m_server, m_servingContext);
}

serving_context node::makeServingContext()
{
    return {
        .instanceId = m_settings.instanceId,
        .incarnation = m_incarnation,
        .cell = m_settings.cell,
        .failureDomain = m_settings.failureDomain,
        .config = m_config,
        .endpoints = m_endpoints,
        .suspects = m_suspects,
        .usage = m_usage,
        .store = m_store,
        .decisions = m_decisions,
        .now = m_now,
        .fresh =
            [this] {
                return configFresh();
            },
        .draining =
            [this] {
                return m_draining.load();
            },
        .instances =
            [this] {
                return liveInstances();
            },
        .demandShare =
            [this](const std::string &group) {
                return demandShare(group);
            },
        .claimCleaner = &m_claimCleaner,
        .metricsRegistry = &m_metrics,
    };
}

operator_context node::makeOperatorContext()
{
    return {
        .serving = m_servingContext,
        .editor = m_editor,
        .recentDecisions = m_recentDecisions,
        .operatorTokenHash = m_settings.operatorTokenHash,
        .pushPatch =
            [this](std::uint64_t version, const nlohmann::json &patch) {
                announcePatch(version, patch);
            },
        .heldByMajority =
            [this](std::uint64_t version) {
                const std::lock_guard lock(m_followerMutex);
                return m_follower.heldByMajority(version);
            },
        .roster =
            [this] {
                return roster().members;
            },
        .leases =
            [this] {
                return leaseStatus();
            },
    };
}

std::vector<lease_status> node::leaseStatus() const
{
    const std::lock_guard lock(m_mutex);
    return m_leaseStatus;
}

void node::drain()
{
    LOG(INFO) << "draining: started, announced to callers and peers";
    m_draining = true;
    std::this_thread::sleep_for(tunables::drainGrace);
    m_rejectingRequests = true;
    std::this_thread::sleep_for(rejectionTime);
    // stop() interrupts streams, so running requests finish first. Their deadlines bound the wait.
    while (requestsInFlight(m_servingContext) > 0) {
        std::this_thread::sleep_for(tunables::controlTick);
    }
    checkInvariant(requestsInFlight(m_servingContext) == 0, invariant::GracefulShutdown, "the server stops while a request is running");
    m_server->stop();
    m_serverThread.join();
    LOG(INFO) << "draining: all requests finished, caller interface closed";
    m_usageFlushed = false;
    for (const instant end = m_now() + usageFlushTimeout; !m_usageFlushed && m_now() < end;) {
        std::this_thread::sleep_for(tunables::controlTick);
    }
    m_releasingLeases = true;
    {
        std::unique_lock lock(m_mutex);
        m_controlWake.wait_for(lock, leaseReleaseTimeout, [this] {
            return m_leasesReleased;
        });
    }
    stopControl();
    LOG(INFO) << "draining: finished, unwritten usage records: " << m_usage.size();
}

int node::callerPort() const
{
    return m_callerPort;
}

int node::peerPort() const
{
    return m_peerPort;
}

cell_roster node::roster() const
{
    const std::lock_guard lock(m_mutex);
    return m_roster;
}

bool node::hasEndpoint(const std::string &endpointId) const
{
    return m_endpoints.find(endpointId).has_value();
}

bool node::isLeaving(const std::string &endpointId) const
{
    const auto reports = m_endpoints.reports(m_now());
    const auto found = std::ranges::find(reports, endpointId, &endpoint_report::endpoint);
    return found != reports.end() && found->leaving;
}

std::vector<std::string> node::duties() const
{
    const std::lock_guard lock(m_mutex);
    return m_duties;
}

}
