#pragma once

#include "coordination/claim_cleaner.h"
#include "coordination/config_editor.h"
#include "coordination/config_follower.h"
#include "coordination/decision_log.h"
#include "coordination/effect_runner.h"
#include "coordination/fleet_controller.h"
#include "coordination/fleet_watch.h"
#include "coordination/lease_keeper.h"
#include "coordination/load_poller.h"
#include "coordination/operator_interface.h"
#include "coordination/order_keeper.h"
#include "coordination/peer_link.h"
#include "coordination/peer_server.h"
#include "coordination/provision_keeper.h"
#include "coordination/roster_keeper.h"
#include "coordination/serving_context.h"
#include "coordination/usage_keeper.h"
#include "protocol/settings.h"
#include "state/metrics.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace httplib
{
class Server;
}

namespace lacewinglock
{

/// One daemon of the cell. Owns all state, runs the control state machines on one thread and serves callers, operators and peers.
class node
{
public:
    explicit node(daemon_settings settings);
    /// Stops immediately, without draining.
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Starts listening for peers and callers and starts the control thread. Returns an error when a port or the TLS certificate
    /// cannot be used.
    absl::Status start();

    /// Shuts down gracefully: announces the draining, refuses new requests after a grace period, waits for running requests, flushes
    /// usage records and releases the leases. Blocks until done; the flush and the release have time limits.
    void drain();

    /// The ports on which the daemon listens, valid after start().
    int callerPort() const;
    int peerPort() const;
    /// Returns the roster that this daemon holds.
    cell_roster roster() const;
    /// Returns whether the endpoint is in this daemon's endpoint table.
    bool hasEndpoint(const std::string &endpointId) const;
    /// Returns whether this daemon holds a notice that the endpoint is leaving, so that it gets no new work.
    bool isLeaving(const std::string &endpointId) const;
    /// Returns the duties whose lease this daemon holds.
    std::vector<std::string> duties() const;
    /// Returns all leases of the cell as last read from the store.
    std::vector<lease_status> leaseStatus() const;

private:
    /// A control state machine: the keeper of a lease, or the task of one duty.
    struct state_machine
    {
        std::string name;
        std::function<void(const control_event &, instant, std::vector<control_effect> &)> handle;
        std::function<void(instant, std::vector<control_effect> &)> release; ///< Set for leases only.
    };

    struct peer_state
    {
        instance_info info;
        instant lastReceivedAt;
        bool draining = false;
        std::vector<group_demand> demand;
    };

    /// A result for a state machine, queued for the control thread.
    struct pending_event
    {
        std::size_t machineIndex = 0;
        control_event event;
    };

    void registerStateMachines();
    template <typename StateMachine>
    void addStateMachine(const std::string &name, StateMachine &target, const lease_keeper *lease = nullptr);
    lease_keeper &addLease(const std::string &duty);
    void handleInstances(const control_event &event, instant now, std::vector<control_effect> &out);

    absl::Status startCallerInterface();
    void registerRoutes();
    serving_context makeServingContext();
    operator_context makeOperatorContext();
    void runControl();
    void dispatchEvent(std::size_t index, const control_event &event, instant now);
    void submitEffects(std::size_t index, std::vector<control_effect> effects);
    void processPendingEvents(std::unique_lock<std::mutex> &lock);
    void tickStateMachines(instant now);
    void runEverySecond(instant now);
    void updateEndpoints();
    void tickFleetController(instant now);
    std::vector<group_demand> ownDemand(instant now) const;
    std::map<std::string, demand_rates> cellDemand(instant now) const;
    void forwardEndpointReports(instant now);
    window_clock usageWindow() const;
    void fetchNewerPatches(const std::string &peerId, std::uint64_t peerVersion);
    void receivePatches(std::span<const config_patch> patches);
    std::uint64_t advertisedVersion() const;
    bool configFresh() const;
    void announcePatch(std::uint64_t version, const nlohmann::json &patch);
    void publishSnapshot(instant now);
    void releaseLeases(instant now);
    void postToControlThread(std::function<void(instant)> task);
    void stopControl();

    peer_handlers makePeerHandlers();
    peer_link::callbacks makeLinkCallbacks();
    heartbeat_reply handleHeartbeat(const heartbeat &message);
    heartbeat makeHeartbeat(instant now) const;
    bool replicateUsage(const usage_record &record);
    void releaseUsage(const std::vector<std::string> &requestIds);
    std::vector<std::string> usageHolderCandidates(const std::string &requestId) const;
    std::vector<instance_info> liveInstances() const;
    double demandShare(const std::string &group) const;
    std::optional<std::string> endpointAddress(const std::string &endpointId) const;
    instance_info ownInfo() const;

    daemon_settings m_settings;
    std::string m_incarnation;
    std::function<instant()> m_now;
    instant m_startedAt;

    config_holder m_config;
    endpoint_table m_endpoints;
    suspect_table m_suspects;
    usage_ledger m_usage;
    metrics m_metrics;
    table_store m_store;
    decision_ring m_recentDecisions;
    decision_log m_decisions;
    config_editor m_editor;

    // Control thread only.
    roster_keeper m_rosterKeeper;
    order_keeper m_orderKeeper;
    provision_keeper m_provisionKeeper;
    fleet_controller m_fleetController;
    usage_keeper m_usageKeeper;
    usage_batcher m_usageBatcher;
    claim_cleaner m_claimCleaner;
    std::vector<std::unique_ptr<lease_keeper>> m_leases;
    std::vector<state_machine> m_stateMachines;
    std::vector<instance_info> m_listedInstances;
    std::map<std::string, endpoint> m_fleet; ///< Endpoints of the configuration and endpoints granted by the platform.
    instant m_nextListAt;
    instant m_nextFleetPoll;
    op_id m_listOp = 0;
    bool m_leaseReleaseStarted = false;

    mutable std::mutex m_followerMutex; ///< Guards m_follower, which HTTP and RPC threads use too.
    config_follower m_follower;

    /// Guards the members up to m_leasesReleased. Must not be held during a call to m_link, because the RPC loop's thread locks it too.
    mutable std::mutex m_mutex;
    std::condition_variable m_controlWake;
    std::vector<pending_event> m_pendingEvents;
    std::vector<std::function<void(instant)>> m_tasks;
    std::map<std::string, peer_state> m_peers;
    std::map<std::string, std::string> m_usageHolderByRequest; ///< The peer that holds the copy of a usage record, by request id.
    cell_roster m_roster;
    std::vector<std::string> m_duties;
    std::vector<lease_status> m_leaseStatus;
    bool m_stopping = false;
    bool m_leasesReleased = false;

    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_rejectingRequests = false;
    std::atomic<bool> m_releasingLeases = false;
    std::atomic<bool> m_usageFlushed = true; ///< Whether the batcher has nothing to write.
    std::atomic<int> m_effectsInFlight = 0; ///< Unfinished effects of all state machines except leases.
    int m_callerPort = 0;
    int m_peerPort = 0;

    rpc_loop m_loop;
    std::unique_ptr<peer_link> m_link;
    std::unique_ptr<load_poller> m_poller;
    std::unique_ptr<fleet_watch> m_fleetWatch;
    std::unique_ptr<effect_runner> m_runner;
    serving_context m_servingContext;
    operator_context m_operatorContext;
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_serverThread;
    std::thread m_controlThread;
};

}
