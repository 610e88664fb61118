#pragma once

#include "coordination/fair_queue.h"
#include "coordination/peer_messages.h"
#include "protocol/decisions.h"
#include "transport/core_time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// Admits requests within the limits of their organisations and keys and the daemon's share of each group's capacity. Waiting requests are
/// admitted in the order of fair_queue. Every change updates all counters, so that the cost of an admission does not grow with the number
/// of organisations and waiting requests. Thread-safe.
class admission_gate
{
public:
    /// Context of an arriving request that is not part of the decision's input.
    struct arrival
    {
        std::string group;
        std::function<double()> freeGroupTokens; ///< This daemon's share of the group's reported free capacity; 0 when unknown.
        instant deadline;
        std::function<instant()> now;
        std::function<bool()> callerGone; ///< Returns whether the caller has closed the connection.
        std::function<void(const admit_input &, const admit_result &)> record; ///< Receives the final decision.
    };

    /// Blocks until the request is admitted or refused. After an admission, leave() must be called exactly once.
    admit_result enter(const admit_input &input, const arrival &context);
    /// Ends an admitted request. `input` must be the one passed to enter().
    void leave(const admit_input &input, const std::string &group);

    /// Number of admitted requests for which leave() has not been called.
    int inFlight() const;
    /// Number of requests blocked in enter().
    int waiting() const;

    /// Weighted tokens of waiting and running requests per group, for the heartbeats. Groups without requests are omitted.
    std::vector<group_demand> demand() const;

private:
    struct organisation_state
    {
        double bucketTokens = 0;
        instant bucketUpdatedAt;
        bool bucketInitialised = false;
        int inFlight = 0;
        int waiting = 0;
        double weight = 1;
        double tokensInFlight = 0;
        std::int64_t activeWeightCounted = 0; ///< Contribution to m_activeWeight.
    };

    struct waiter
    {
        std::uint64_t arrival = 0;
        std::condition_variable changed; ///< Notified when the request is the first of its group and should decide again.
    };

    struct group_state
    {
        fair_queue queue;
        std::unordered_map<std::uint64_t, waiter *> waiters; ///< By arrival.
        double tokensInFlight = 0;
        int inFlight = 0;
        double freeTokens = 0; ///< Free capacity as last reported.
        double tokensAtReport = 0; ///< `tokensInFlight` when that report was first seen; only later admissions reduce the free capacity.
        double demandTokens = 0; ///< Weighted tokens of waiting and running requests.
    };

    group_state &enqueue(const admit_input &input, const arrival &context, waiter &self);
    void dequeue(const admit_input &input, group_state &group, const waiter &self, bool admitted);
    admit_input withCounters(const admit_input &input, const arrival &context, group_state &group, instant now);
    static double groupLimit(const arrival &context, group_state &group);
    void addInFlight(const admit_input &input, group_state &group);
    void updateActiveWeight(organisation_state &organisation);
    static void notifyFirst(const group_state &group);

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, organisation_state> m_organisations;
    std::unordered_map<std::string, int> m_keysInFlight;
    std::unordered_map<std::string, group_state> m_groups;
    std::uint64_t m_lastArrival = 0;
    std::int64_t m_activeWeight = 0; ///< Sum over organisations with requests waiting or running, in millionths; a sum of integers has no rounding drift.
    int m_waiting = 0;
    int m_inFlight = 0;
};

}
