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

/// Admits requests under the limits of their organisations and keys and within the daemon's share of each group's capacity.
/// Waiting requests are admitted in the order of fair_queue. All counters are kept up to date by each change, so that an admission costs
/// the same whatever the number of organisations and waiting requests.
class admission_gate
{
public:
    /// What the gate needs to know of a waiting request beyond the decision's input.
    struct arrival
    {
        std::string group;
        std::function<double()> freeGroupTokens; ///< This daemon's share of the group's free capacity as reported; 0 means unknown.
        instant deadline;
        std::function<instant()> now;
        std::function<bool()> callerGone;
        std::function<void(const admit_input &, const admit_result &)> record; ///< Takes each final decision.
    };

    /// Blocks until the request is admitted or refused. `leave` must follow once after an admission.
    admit_result enter(const admit_input &input, const arrival &who);
    void leave(const admit_input &input, const std::string &group);

    /// Admitted requests that have not left.
    int inFlight() const;
    int waiting() const;

    /// Weighted tokens waiting and running per group, for the heartbeats. Groups without any are left out.
    std::vector<group_demand> demand() const;

private:
    struct organisation_state
    {
        double bucketTokens = 0;
        instant bucketAt;
        bool bucketKnown = false;
        int inFlight = 0;
        int waiting = 0;
        double weight = 1;
        double tokensInFlight = 0;
        std::int64_t countedWeight = 0; ///< What m_activeWeight contains of it.
    };

    struct waiter
    {
        std::uint64_t arrival = 0;
        std::condition_variable changed; ///< Signalled when the request became the first of its group or may now run.
    };

    struct group_state
    {
        fair_queue queue;
        std::unordered_map<std::uint64_t, waiter *> waiters; ///< By arrival.
        double tokensInFlight = 0;
        int inFlight = 0;
        double freeTokens = 0; ///< As last reported.
        double tokensAtReport = 0; ///< In flight here when that report was first seen; only later admissions use up the free tokens.
        double demandTokens = 0; ///< Weighted tokens waiting and running.
    };

    group_state &join(const admit_input &input, const arrival &who, waiter &self);
    void settle(const admit_input &input, group_state &group, const waiter &self, bool admitted);
    admit_input fill(const admit_input &input, const arrival &who, group_state &group, instant now);
    static double groupLimit(const arrival &who, group_state &group);
    void take(const admit_input &input, group_state &group);
    void countWeight(organisation_state &organisation);
    static void wakeFirst(const group_state &group);

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, organisation_state> m_organisations;
    std::unordered_map<std::string, int> m_keysInFlight;
    std::unordered_map<std::string, group_state> m_groups;
    std::uint64_t m_lastArrival = 0;
    std::int64_t m_activeWeight = 0; ///< Sum over organisations with work waiting or running, in millionths: whole numbers don't drift.
    int m_waiting = 0;
    int m_inFlight = 0;
};

}
