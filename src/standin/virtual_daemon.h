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

/// One request of a caller, which the caller may send again.
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
    std::string number; ///< Differs for every call, also for two calls with one idempotency key.
    std::string requestId; ///< Of the current arrival.
    std::uint64_t delivered = 0; ///< Tokens of the current arrival.
    int arrivals = 0;
    std::string outcome; ///< finished, not_run, unknown, partial or lost.
    std::string code; ///< Error code of a refusal.
    std::function<void()> ended;
};

/// The fakes that daemons work with.
struct virtual_surroundings
{
    virtual_world &world;
    virtual_platform &platform;
    std::map<std::string, std::unique_ptr<virtual_endpoint>> endpoints;
    std::map<std::string, std::unique_ptr<virtual_daemon>> daemons;
};

/// State of a daemon between its start and its end, made of the product's state machines. All of it is lost when the daemon is killed.
struct daemon_life
{
    struct machine
    {
        std::string name;
        std::function<void(const control_event &, instant, std::vector<control_effect> &)> handle;
    };
    struct open_request
    {
        request_session session;
        std::shared_ptr<virtual_call> call;
        std::string attemptId; ///< Of the attempt that runs, with its endpoint and the time of its last event.
        std::string endpoint;
        instant lastEvent;
    };
    struct polled_report
    {
        endpoint_report report;
        instant takenAt;
    };

    daemon_life(const std::string &daemonId, std::string incarnation);

    std::string incarnation;
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
    std::vector<machine> machines;
    std::map<std::string, std::shared_ptr<open_request>> requests;
    poll_schedule pollTurns;
    std::map<std::string, polled_report> polled; ///< Endpoints that this daemon polls.
    std::map<std::string, std::string> usageHolders;
    std::vector<std::function<void()>> waiting; ///< Events that arrived while the process was paused.
    std::uint64_t versionSeen = 0;
    int effectsInFlight = 0;
    bool refusing = false;
    bool handingOver = false;
    bool released = false;
    instant handOverAt;
    instant startedAt;
};

class virtual_daemon
{
public:
    virtual_daemon(virtual_surroundings &around, std::string id, std::string failureDomain);

    void start();
    void kill();
    void pause(duration length);
    void shutDown(); ///< Graceful: drains, hands its leases over and stops.
    void stallOrders(duration length); ///< The process stops between the check of the lease and the write of its next orders.
    void takeCall(const std::shared_ptr<virtual_call> &call);
    void announce(std::uint64_t version, const nlohmann::json &patch);

    const std::string &id() const;
    const std::string &failureDomain() const;
    bool alive() const;
    bool paused() const;
    daemon_life *life() const;
    instant now() const; ///< On this daemon's own clock.
    bool holds(const std::string &duty) const;

private:
    using life_action = std::function<void(daemon_life &)>;

    /// Runs the action unless that life has ended; while the process is paused the action waits.
    void run(const std::weak_ptr<daemon_life> &owner, const life_action &action);
    void post(duration delay, const std::string &label, life_action action);
    void end();
    void buildMachines(daemon_life &life);
    template <typename Machine>
    void addMachine(daemon_life &life, const std::string &name, Machine &target, const lease_keeper *lease);
    void tick(daemon_life &life);
    void everySecond(daemon_life &life);
    void deliver(daemon_life &life, std::size_t index, const control_event &event);
    void perform(daemon_life &life, std::size_t index, std::vector<control_effect> &effects);
    std::function<void(control_event)> answerer(std::size_t index);
    void performOne(const read_row_effect &effect, const std::function<void(control_event)> &answer);
    void performOne(const scan_rows_effect &effect, const std::function<void(control_event)> &answer);
    void performOne(const commit_effect &effect, const std::function<void(control_event)> &answer);
    void performOne(const send_order_effect &effect, const std::function<void(control_event)> &answer);
    void performOne(const send_provision_effect &effect, const std::function<void(control_event)> &answer);
    void performOne(const send_usage_effect &effect, const std::function<void(control_event)> &answer);
    void performOne(const list_instances_effect &effect, const std::function<void(control_event)> &answer);
    void writeOrder(const endpoint_order &order, op_id op, const std::function<void(control_event)> &answer);

    void pollEndpoints(daemon_life &life);
    void passReports(daemon_life &life);
    void sendHeartbeats(daemon_life &life);
    void heartbeat(virtual_daemon &peer);
    void takeHeartbeat(daemon_life &life, const daemon_life &sender, const virtual_daemon &from);
    void takeReply(const std::string &peerId, const heartbeat_reply &reply, instant sentAt);
    void noteVersion(daemon_life &life);
    void adoptUsage(daemon_life &life);
    bool replicate(daemon_life &life, const usage_record &record) const;
    void releaseUsage(daemon_life &life, const std::vector<std::string> &ids) const;
    void advanceShutdown(daemon_life &life);

    void step(daemon_life &life, const std::string &requestId, const session_event &event);
    void push(duration delay, const std::string &requestId, session_event event);
    void tickRequests(daemon_life &life);
    std::optional<refuse_effect> openRequest(daemon_life &life, const std::shared_ptr<virtual_call> &call);
    template <typename Effect>
    void performRequest(daemon_life &life, daemon_life::open_request &open, const Effect &effect);
    void startAttempt(daemon_life &life, daemon_life::open_request &open, const start_attempt_effect &effect);
    void attemptEnded(daemon_life &life, const std::string &endpointId, const session_event &event);
    std::vector<endpoint_view> viewEndpoints(daemon_life &life, const std::string &group) const;
    void endCall(const std::shared_ptr<virtual_call> &call, const std::string &outcome, const std::string &code);
    session_event received(const std::string &attemptId, session_event event) const;

    virtual_surroundings &m_around;
    virtual_world &m_world;
    std::string m_id;
    std::string m_failureDomain;
    std::shared_ptr<daemon_life> m_life;
    duration m_clockOffset{0};
    duration m_wallSkew{0};
    instant m_pausedUntil;
    duration m_orderStall{0};
    int m_starts = 0;
    std::uint64_t m_ticks = 0;
};

}
