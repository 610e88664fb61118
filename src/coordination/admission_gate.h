#pragma once

#include "protocol/core_time.h"
#include "protocol/decisions.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace lacewinglock
{

/// Admits requests under the limits of their organisations and keys and within the daemon's share of each group's capacity.
/// Waiting requests are admitted in weighted fair order by virtual time.
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
        double lastFinishTag = 0;
    };

    struct group_state
    {
        double tokensInFlight = 0;
        double freeTokens = 0; ///< As last reported.
        double tokensAtReport = 0; ///< In flight here when that report was first seen; only later admissions use up the free tokens.
    };

    struct waiter
    {
        std::string group;
        double startTag = 0;
        bool passed = false; ///< Its last decision was to wait for a limit of its own, so that others may go first.
    };

    using waiter_list = std::list<waiter>;

    admit_input fill(const admit_input &input, const arrival &who, instant now);
    bool isNext(waiter_list::const_iterator self) const;
    double groupLimit(const arrival &who);
    void take(const admit_input &input, const std::string &group, double startTag);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, organisation_state> m_organisations;
    std::map<std::string, int> m_keysInFlight;
    std::map<std::string, group_state> m_groups;
    waiter_list m_waiters;
    double m_virtualTime = 0;
    int m_inFlight = 0;
};

}
