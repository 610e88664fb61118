#pragma once

#include <span>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// What placement predicts for a request if it were sent now.
struct admission_outlook
{
    bool available = false; ///< An endpoint may be used at all.
    bool onTime = false; ///< Placement finds an endpoint on time.
    bool runsLate = false; ///< Placement would send it although it is late.
    double queueMs = 0; ///< Wait at the endpoint that placement would choose, or at the one with the shortest if it chooses none.
    double workMs = 0; ///< From the end of that wait to the answer, or to the first event.
    double slots = 0; ///< Of all usable endpoints.
    double freePercent = 0; ///< Part of those slots that no request holds.

    bool operator==(const admission_outlook &) const = default;
};

/// Load of a service, summed over the daemons whose figures are known. Demand is in tokens (calls for plain services) per second.
struct admission_load
{
    double demand = 0; ///< All requests that arrive, also those refused.
    double unserved = 0; ///< Requests that are refused.
    int urgentLevels = 0; ///< Number of more urgent priorities with demand worth mention.
    double organisationDemand = 0; ///< Of the request's organisation in its priority.
    double fairShare = 0; ///< Of an organisation in that priority.

    bool operator==(const admission_load &) const = default;
};

/// Input of decideAdmission() for one request. All numbers are multiples of 0.1, so that the log line holds exactly the values that the decision used.
struct admission_input
{
    std::string requestId;
    std::string service;
    std::string organisation;
    int priority = 5;
    double size = 1; ///< Tokens of a generation; 1 for a call.
    double elapsedMs = 0; ///< Since the request arrived; all of it was spent waiting here.
    double targetMs = 0;
    double remainingMs = 0; ///< Until the deadline.
    bool returning = false; ///< This daemon has refused it before, and the time that it was told has passed.
    admission_outlook outlook;
    admission_load load;
    double credit = 0; ///< Of the organisation's share at this daemon; above 0, the request is within the share.
    double ageMs = 0; ///< Of what this daemon knows of the others.
    double daemons = 1;
    double ownRunning = 0; ///< Requests of this daemon there.
    double returnsMs = 0; ///< Until the last of the refused requests of its organisation and priority returns.
    bool queueHasRoom = true; ///< The queue of this daemon can hold the request.
    double jitter = 0; ///< Uniform in [0, 1): spreads the retry times.

    bool operator==(const admission_input &) const = default;
};

enum class admission_verdict {
    Run, ///< Place it now.
    Wait, ///< Keep it here, at most for waitMs.
    Refuse
};

/// Decision of decideAdmission().
struct admission_result
{
    admission_verdict verdict = admission_verdict::Run;
    double waitMs = 0; ///< Set when it waits.
    double retryAfterMs = 0; ///< Set when it is refused.
    std::string_view reason;
};

inline constexpr double unlimitedShare = 1e12;

/// From this age on, what a daemon knows of the others does not count: the tables of the state exchange time out after the same time.
inline constexpr double lostAgeMs = 1000;

/// Decides whether a request runs now, waits at this daemon, or is refused.
///
/// Designed for bursts in which callers together ask for up to twice what a service can do. As long as nobody is refused, a request that placement can
/// serve on time runs. While requests are refused, the endpoints' queues are kept short for the more urgent ones: the less urgent a request, and the more
/// its organisation exceeds its fair share, the shorter must be the queue that it joins. So the endpoints always have work, what the entitled do not use
/// goes to others at once, and those entitled find the endpoints' queues shorter than they need.
///
/// Without news of the others, a daemon uses its part of the slots only: after a start of all daemons nobody knows the load.
admission_result decideAdmission(const admission_input &input);

/// The largest amount that an organisation gets when `capacity` is divided so that no organisation gets more than it demands, and none more than another
/// whose demand is not met (max-min fairness). unlimitedShare if all demands are met.
double fairShare(std::span<const double> demands, double capacity);

}
