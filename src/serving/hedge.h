#pragma once

#include "serving/hedge_budget.h"
#include "serving/retry_budget.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// An endpoint that a second attempt could be sent to.
struct hedge_candidate
{
    std::string id;
    bool otherDomain = false; ///< In another failure domain than the first endpoint.
    bool usable = false; ///< Takes new requests: up, not leaving, reserved or ejected.
    bool tried = false; ///< Has had this request already, or is the same process as one that has.
    bool restricted = false; ///< Names a request limit or has asked for a pause.
    int running = 0; ///< Of all daemons.
    int slots = 1;
    double predictedMs = 0; ///< Time to its answer, or to its first event.

    bool operator==(const hedge_candidate &) const = default;
};

/// Input of decideHedge() for one request. Times are multiples of 0.1 ms, the credit of 0.01, as they are logged.
struct hedge_input
{
    std::string requestId;
    std::string service;
    std::string firstEndpoint;
    double ratio = 0; ///< Setting `hedge_ratio`.
    bool evenServices = false; ///< Setting `hedge_even_services`.
    bool unevenPace = false; ///< An endpoint of the service has lately reported an uneven pace.
    bool mayRunTwice = false; ///< A repeatable call, or a resumable stream before its first event.
    bool suspect = false; ///< Suspected of crashing endpoints, or a trial that finds out.
    bool stopping = false; ///< This daemon is shutting down.
    int attempts = 1; ///< Endpoints that have had the request, including the first one.
    int maxAttempts = 1;
    double waitedMs = 0; ///< Since the request was sent to the first endpoint.
    double quantileMs = -1; ///< 95th percentile of the response times of the route and size class; negative if unknown.
    double remainingMs = 0; ///< Until the deadline of the request.
    double maxOverlapMs = 0; ///< How long two endpoints may work on the request; 0: until the end.
    int running = 0; ///< Over all usable endpoints of the service that answer requests, so without prefill engines.
    int slots = 0; ///< The same.
    hedge_allowance allowance;
    retry_room retries;
    std::vector<hedge_candidate> candidates; ///< The endpoint with the shortest prediction, and the one in another failure domain, if there are any.

    bool operator==(const hedge_input &) const = default;
};

/// Decision of decideHedge().
struct hedge_result
{
    int candidate = -1; ///< Index into hedge_input::candidates; -1: no second attempt.
    bool checkAgain = false; ///< The obstacle may pass while the request waits.
    bool overBudget = false; ///< Only the ratio or the retry budget stands against it.
    std::string_view reason;
};

/// Why the endpoint can't take a second attempt; empty if it can.
std::string_view hedgeObstacle(const hedge_candidate &candidate);

/// Decides whether a request that has waited for its first endpoint for long is sent to a second one.
///
/// Designed for endpoints that are slow for a while for causes of their own, in services with free slots: then the second endpoint answers earlier. Under
/// high load slowness is common to all endpoints and a second attempt only adds to it, so none is sent there. Retries replace error answers and take
/// precedence: a hedge is sent only while at least half of the retry budget is unused.
hedge_result decideHedge(const hedge_input &input);

}
