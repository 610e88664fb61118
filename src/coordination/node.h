#pragma once

#include "coordination/claim_cleaner.h"
#include "coordination/config_editor.h"
#include "coordination/config_follower.h"
#include "coordination/decision_log.h"
#include "coordination/effect_runner.h"
#include "coordination/fleet_control.h"
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

/// One daemon: owns all state, runs the control machines on one thread and serves callers.
class node
{
public:
    explicit node(daemon_settings settings);
    /// Stops without draining.
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Opens the peer and caller interfaces and starts the control thread.
    absl::Status start();

    /// Graceful shutdown: announces the draining, refuses new requests after a while, waits for running ones, flushes usage and
    /// hands the leases over. Returns when all of it is done.
    void drain();

    int callerPort() const;
    int peerPort() const;
    cell_roster roster() const;
    bool knowsEndpoint(const std::string &endpointId) const;
    /// The endpoint is known here to be leaving, so it gets no new work.
    bool isLeaving(const std::string &endpointId) const;
    /// Duties whose lease this daemon holds.
    std::vector<std::string> duties() const;
    /// All leases of the cell as their rows showed them last.
    std::vector<lease_status> leaseStatus() const;

private:
    /// A control machine as the control thread sees it.
    struct machine
    {
        std::string name;
        std::function<void(const control_event &, instant, std::vector<control_effect> &)> handle;
        std::function<void(instant, std::vector<control_effect> &)> release; ///< Leases only.
    };

    struct peer_state
    {
        instance_info info;
        instant heardAt;
        bool draining = false;
        std::vector<group_demand> demand;
    };

    struct answer
    {
        std::size_t machine = 0;
        control_event event;
    };

    void registerMachines();
    template <typename Machine>
    void addMachine(const std::string &name, Machine &target, const lease_keeper *lease = nullptr);
    lease_keeper &addLease(const std::string &duty);
    void handleInstances(const control_event &event, instant now, std::vector<control_effect> &out);

    absl::Status startCallerInterface();
    void registerRoutes();
    serving_context makeServingContext();
    operator_context makeOperatorContext();
    void runControl();
    void deliver(std::size_t index, const control_event &event, instant now);
    void submit(std::size_t index, std::vector<control_effect> effects);
    void takeAnswers(std::unique_lock<std::mutex> &lock);
    void tickMachines(instant now);
    void everySecond(instant now);
    void applyFleet();
    void controlFleet(instant now);
    std::vector<group_demand> ownDemand(instant now) const;
    std::map<std::string, demand_rates> cellDemand(instant now) const;
    void passReports(instant now);
    window_clock usageWindow() const;
    void catchUpFrom(const std::string &peerId, std::uint64_t peerVersion);
    void offerPatches(std::span<const config_patch> patches);
    std::uint64_t advertisedVersion() const;
    bool configFresh() const;
    void announcePatch(std::uint64_t version, const nlohmann::json &patch);
    void publish(instant now);
    void handOverLeases(instant now);
    void post(std::function<void(instant)> task);
    void stopControl();

    peer_handlers makePeerHandlers();
    peer_link::callbacks makeLinkCallbacks();
    heartbeat_reply takeHeartbeat(const heartbeat &message);
    heartbeat makeHeartbeat(instant now) const;
    bool replicateUsage(const usage_record &record);
    void releaseUsage(const std::vector<std::string> &requestIds);
    std::vector<std::string> usageHolders(const std::string &requestId) const;
    std::vector<instance_info> liveInstances() const;
    double demandShare(const std::string &group) const;
    std::optional<std::string> addressOf(const std::string &endpointId) const;
    instance_info self() const;

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
    fleet_control m_fleetControl;
    usage_keeper m_usageKeeper;
    usage_batcher m_usageBatcher;
    claim_cleaner m_claimCleaner;
    std::vector<std::unique_ptr<lease_keeper>> m_leases;
    std::vector<machine> m_machines;
    std::vector<instance_info> m_listed;
    std::map<std::string, endpoint> m_fleet; ///< Of the configuration and granted.
    instant m_nextListAt;
    instant m_nextFleetPoll;
    op_id m_listOp = 0;
    bool m_released = false;

    mutable std::mutex m_followerMutex; ///< Guards m_follower, which HTTP and RPC threads ask too.
    config_follower m_follower;

    mutable std::mutex m_mutex; ///< Guards the members below. Never held during a call to m_link, whose loop takes it too.
    std::condition_variable m_changed;
    std::vector<answer> m_answers;
    std::vector<std::function<void(instant)>> m_tasks;
    std::map<std::string, peer_state> m_peers;
    std::map<std::string, std::string> m_usageHolders; ///< Request to the peer that holds its copy.
    cell_roster m_roster;
    std::vector<std::string> m_duties;
    std::vector<lease_status> m_leaseStatus; ///< As the lease rows showed it last.
    bool m_stopping = false;
    bool m_handedOver = false;

    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_refusing = false;
    std::atomic<bool> m_handingOver = false;
    std::atomic<bool> m_usageWritten = true; ///< The batcher has nothing to write.
    std::atomic<int> m_effectsInFlight = 0; ///< Of machines other than leases.
    int m_callerPort = 0;
    int m_peerPort = 0;

    rpc_loop m_loop;
    std::unique_ptr<peer_link> m_link;
    std::unique_ptr<load_poller> m_poller;
    std::unique_ptr<fleet_watch> m_fleetWatch;
    std::unique_ptr<effect_runner> m_runner;
    serving_context m_serving;
    operator_context m_operators;
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_serverThread;
    std::thread m_controlThread;
};

}
