#include "serving/request_admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lacewinglock
{

namespace
{

constexpr double overloadFraction = 0.03; // Of the demand. A smaller part is refused in ordinary service when two daemons choose the same endpoint.
constexpr double overloadQueuePart = 0.7; // Of the time left for a queue: loads are 100 ms old, and others join meanwhile.
constexpr double queuePartPerLevel = 0.4; // Each more urgent priority with demand shortens the queue that a request may join.
constexpr int maxLevels = 3;
// For requests of organisations that demand more than their share, and those of them that exceed it now. Above the part of the next priority, so that a
// more urgent request goes before a less urgent one.
constexpr double largeQueuePart = 0.7;
constexpr double excessQueuePart = 0.1;
constexpr double reservedPercent = 10; // Of all slots, kept free for those before a request whose part of the queue is 0.
constexpr double ownPartFactor = 1.5; // A daemon's part of the slots without news, to allow for callers that are spread unevenly.
constexpr double waitFraction = 1.0 / 3; // Of the target.
constexpr double minWaitMs = 5; // A shorter wait changes nothing.
constexpr double maxLateQueueMs = 40; // As in placement: a late request may join a queue of one short prompt.
constexpr double minRetryAfterMs = 250; // An earlier retry would fall into the same burst.
constexpr double maxRetryAfterMs = 5000;
constexpr double jitterFraction = 0.2; // The order of the returns already spreads them.

/// The part of the queue for requests on time that this request may join; 1 while nobody is refused.
double queuePart(const admission_input &input)
{
    const auto &load = input.load;
    if (load.unserved <= overloadFraction * load.demand) {
        return 1;
    }
    const double part = overloadQueuePart * std::pow(queuePartPerLevel, std::min(load.urgentLevels, maxLevels));
    if (load.organisationDemand <= load.fairShare) {
        return part;
    }
    return part * (input.credit > 0 || input.returning ? largeQueuePart : excessQueuePart);
}

bool exceedsOwnPart(const admission_input &input)
{
    return input.ageMs >= lostAgeMs && input.daemons > 1 && input.ownRunning >= std::max(1.0, std::floor(ownPartFactor * input.outlook.slots / input.daemons));
}

admission_result refuse(const admission_input &input, std::string_view reason, double waitMs)
{
    const double retry = std::clamp(std::max(waitMs, input.returnsMs), minRetryAfterMs, maxRetryAfterMs) * (1 + jitterFraction * input.jitter);
    return {.verdict = admission_verdict::Refuse, .retryAfterMs = std::round(retry), .reason = reason};
}

}

// Step 1: leave to placement what admission can't judge, and refuse what can't be served in time. Step 2: run the request if it is on time and the queue
// that it joins is short enough for its rank, or if it may run late. Step 3: otherwise let it wait if the queue can become short enough meanwhile.
admission_result decideAdmission(const admission_input &input)
{
    const auto &outlook = input.outlook;
    if (!outlook.available) {
        return {.reason = "no endpoint"};
    }
    if (outlook.workMs > input.remainingMs) {
        return refuse(input, "too late", outlook.queueMs);
    }
    const double part = queuePart(input);
    const double slackMs = std::max(0.0, input.targetMs - input.elapsedMs - outlook.workMs);
    const double allowedQueueMs = outlook.onTime ? part * slackMs : part * maxLateQueueMs;
    const bool ownPartUsed = exceedsOwnPart(input);
    const bool room = part >= 1 || (outlook.queueMs <= allowedQueueMs && outlook.freePercent >= (1 - part) * reservedPercent);
    if ((outlook.onTime || outlook.runsLate) && room && !ownPartUsed) {
        return {.reason = outlook.onTime ? "on time" : "late"};
    }
    const double waitMs = std::floor(waitFraction * input.targetMs - input.elapsedMs);
    const double neededMs = ownPartUsed ? 0 : outlook.queueMs - allowedQueueMs;
    const bool reachable = waitMs >= minWaitMs && neededMs <= waitMs && waitMs + outlook.workMs <= input.remainingMs;
    if (reachable && input.queueHasRoom) {
        return {.verdict = admission_verdict::Wait, .waitMs = waitMs, .reason = ownPartUsed ? "own part is used" : "queue is too long"};
    }
    if (ownPartUsed) {
        return refuse(input, "own part is used", outlook.workMs);
    }
    return refuse(input, outlook.onTime || outlook.runsLate ? "others go first" : "overload", outlook.queueMs);
}

double fairShare(std::span<const double> demands, double capacity)
{
    std::vector<double> sorted(demands.begin(), demands.end());
    std::ranges::sort(sorted);
    double left = std::max(0.0, capacity);
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const double equal = left / static_cast<double>(sorted.size() - i);
        if (sorted[i] > equal) {
            return equal;
        }
        left -= sorted[i];
    }
    return unlimitedShare;
}

}
