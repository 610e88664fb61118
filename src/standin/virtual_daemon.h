#pragma once

#include "coordination/config_follower.h"
#include "coordination/lease_keeper.h"
#include "coordination/order_keeper.h"
#include "coordination/peer_messages.h"
#include "coordination/poll_schedule.h"
#include "coordination/provision_keeper.h"
#include "coordination/request_session.h"
#include "coordination/roster_keeper.h"
#include "coordination/usage_keeper.h"
#include "standin/virtual_endpoint.h"
#include "standin/virtual_platform.h"
#include "state/endpoint_table.h"
#include "state/suspect_table.h"
#include "state/usage_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewinglock
{

class virtual_daemon;

/// A caller's request with its retries.
struct virtual_call
{
    std::string id;
    std::string keyId;
    std::string key;
    std::string organisation;
    bool booking = false;
    bool poison = false;
    std::string prompt;
    std::uint64_t tokens = 0;
    std::string number; ///< Unique per call, also for calls with the same idempotency key.
    std::string requestId; ///< Request id of the current send.
    std::uint64_t delivered = 0; ///< Tokens delivered by the current send.
    int dispatches = 0; ///< Sends that reached a daemon.
    std::string outcome; ///< Outcome of the last send: finished, not_run, unknown, partial or lost.
    std::string code; ///< Error code of a refused request.
    std::function<void()> onEnd; ///< Runs at the end of each send.
};

/// The simulated platform, endpoints and peers that daemons communicate with.
struct virtual_environment
{
    virtual_world &world;
    virtual_platform &platform;
    std::map<std::string, std::unique_ptr<virtual_endpoint>> endpoints;
    std::map<std::string, std::unique_ptr<virtual_daemon>> daemons;
};

/// State of a daemon from its start to its end, built from the production state machines. It is lost when the daemon is killed.
struct daemon_incarnation
{
    struct state_machine
    {
        std::string name;
        std::function<void(const control_event &, instant, std::vector<control_effect> &)> handle;
    };
    struct open_request
    {
        request_session session;
        std::shared_ptr<virtual_call> call;
        std::string attemptId; ///< Running attempt; empty when there is none.
        std::string endpoint;
        instant lastEvent; ///< Time of the last event other than a tick.
    };
    struct polled_report
    {
        endpoint_report report;
        instant receivedAt;
    };

    daemon_incarnation(const std::string &daemonId, std::string id);

    std::string incarnationId;
    config_holder config;
    config_follower follower{config};
    endpoint_table endpoints;
    suspect_table suspects;
    usage_ledger usage;
    std::map<std::string, std::unique_ptr<lease_keeper>> leases;
    roster_keeper roster;
    order_keeper orders;
    provision_keeper provision;
    usage_keeper windows;
    usage_batcher batches;
    std::vector<state_machine> stateMachines;
    std::map<std::string, std::shared_ptr<open_request>> requests;
    poll_schedule pollSchedule;
    std::map<std::string, polled_report> polled; ///< Latest reports of the endpoints that this daemon polls.
    std::map<std::string, std::string> usageReplicaHolders; ///< Daemon that holds the replica of a usage record, by request id.
    std::vector<std::function<void()>> deferredActions; ///< Actions that became due while the process was paused.
    std::uint64_t lastInstalledVersion = 0;
    int pendingEffects = 0; ///< Unanswered effects, those of the leases excluded.
    bool refusing = false; ///< The shutdown has begun to refuse new requests.
    bool releasingLeases = false;
    bool leasesReleased = false;
    instant leaseReleaseStartedAt;
    instant startedAt;
};

/// A daemon on the virtual clock that runs the production state machines and can be killed, paused and shut down.
class virtual_daemon
{
public:
    virtual_daemon(virtual_environment &environment, std::string id, std::string failureDomain);

    void start();
    void kill();
    void pause(duration length);
    void shutDown(); ///< Graceful: drains, releases the leases and stops.
    void stallOrders(duration length); ///< Delays the next order by `length` between the lease check and the write.
    void acceptCall(const std::shared_ptr<virtual_call> &call);
    void announce(std::uint64_t version, const nlohmann::json &patch);

    const std::string &id() const;
    const std::string &failureDomain() const;
    bool alive() const;
    bool paused() const;
    daemon_incarnation *incarnation() const;
    instant now() const; ///< Time on the daemon's own clock, which differs from the virtual clock.
    bool holds(const std::string &duty) const; ///< Whether the lease of the duty is valid on the daemon's own clock.

private:
    using incarnation_action = std::function<void(daemon_incarnation &)>;

    /// Runs the action unless that incarnation has ended. While the process is paused, the action is deferred.
    void run(const std::weak_ptr<daemon_incarnation> &owner, const incarnation_action &action);
    void post(duration delay, const std::string &label, incarnation_action action);
    void discardIncarnation();
    void createStateMachines(daemon_incarnation &incarnation);
    template <typename StateMachine>
    void addStateMachine(daemon_incarnation &incarnation, const std::string &name, StateMachine &target, const lease_keeper *lease);
    void runTick(daemon_incarnation &incarnation);
    void runEverySecond(daemon_incarnation &incarnation);
    void deliver(daemon_incarnation &incarnation, std::size_t index, const control_event &event);
    void perform(daemon_incarnation &incarnation, std::size_t index, std::vector<control_effect> &effects);
    std::function<void(control_event)> answerHandler(std::size_t index);
    void performEffect(const read_row_effect &effect, const std::function<void(control_event)> &answer);
    void performEffect(const scan_rows_effect &effect, const std::function<void(control_event)> &answer);
    void performEffect(const commit_effect &effect, const std::function<void(control_event)> &answer);
    void performEffect(const send_order_effect &effect, const std::function<void(control_event)> &answer);
    void performEffect(const send_provision_effect &effect, const std::function<void(control_event)> &answer);
    void performEffect(const send_usage_effect &effect, const std::function<void(control_event)> &answer);
    void performEffect(const list_instances_effect &effect, const std::function<void(control_event)> &answer);
    void writeOrder(const endpoint_order &order, op_id op, const std::function<void(control_event)> &answer);

    void pollEndpoints(daemon_incarnation &incarnation);
    void forwardEndpointReports(daemon_incarnation &incarnation);
    void sendHeartbeats(daemon_incarnation &incarnation);
    void exchangeHeartbeat(virtual_daemon &peer);
    void handleHeartbeat(daemon_incarnation &incarnation, const daemon_incarnation &sender, const virtual_daemon &senderDaemon);
    void handleHeartbeatReply(const std::string &peerId, const heartbeat_reply &reply, instant sentAt);
    void recordInstalledConfig(daemon_incarnation &incarnation);
    void adoptUsage(daemon_incarnation &incarnation);
    bool replicate(daemon_incarnation &incarnation, const usage_record &record) const;
    void releaseUsage(daemon_incarnation &incarnation, const std::vector<std::string> &ids) const;
    void advanceShutdown(daemon_incarnation &incarnation);

    void handleSessionEvent(daemon_incarnation &incarnation, const std::string &requestId, const session_event &event);
    void postEvent(duration delay, const std::string &requestId, session_event event);
    void tickRequests(daemon_incarnation &incarnation);
    std::optional<refuse_effect> openRequest(daemon_incarnation &incarnation, const std::shared_ptr<virtual_call> &call);
    template <typename Effect>
    void performSessionEffect(daemon_incarnation &incarnation, daemon_incarnation::open_request &open, const Effect &effect);
    void startAttempt(daemon_incarnation &incarnation, daemon_incarnation::open_request &open, const start_attempt_effect &effect);
    void handleAttemptEvent(daemon_incarnation &incarnation, const std::string &endpointId, const session_event &event);
    std::vector<endpoint_view> viewEndpoints(daemon_incarnation &incarnation, const std::string &group) const;
    void endCall(const std::shared_ptr<virtual_call> &call, const std::string &outcome, const std::string &code);
    session_event applyBrokenMechanism(const std::string &attemptId, session_event event) const;

    virtual_environment &m_environment;
    virtual_world &m_world;
    std::string m_id;
    std::string m_failureDomain;
    std::shared_ptr<daemon_incarnation> m_incarnation;
    duration m_clockOffset{0};
    duration m_wallSkew{0};
    instant m_pausedUntil;
    duration m_orderWriteStall{0};
    int m_starts = 0;
    std::uint64_t m_ticks = 0;
};

}
