#pragma once

#include "coordination/bench_random.h"
#include "protocol/decisions.h"

#include <string>
#include <vector>

namespace lacewinglock
{

/// Request of a caller.
struct bench_request
{
    double arrivalMs = 0;
    int organisation = 0;
    double promptTokens = 0;
    double prefixTokens = 0;
    int prefix = -1;
    int outputTokens = 0;
    bool repeatable = true;
    bool poison = false;
};

/// A fixed series of requests and faults.
struct bench_workload
{
    std::string name;
    double durationMs = 0;
    double loadEngines = 8.4; ///< Offered load, in units of one engine's capacity.
    double prefillFraction = 0.4; ///< Mean fraction of the work that is prefill.
    double swing = 0; ///< Amplitude of the change of `prefillFraction`.
    double swingPeriodMs = 0;
    bool mixShifts = false; ///< The goodput target relative to round robin applies.
    bool sharedPrefixes = false;
    bool burst = false; ///< Organisation 0 offers twice the capacity of the fleet for half of the time.
    double reportDelayMs = 200;
    double cacheEventLossRate = 0; ///< Fraction of the cache events that are lost.
    bool poison = false;
    bool crashDuringChange = false; ///< Another engine crashes whenever a role change starts.
    double reclaimAtMs = -1; ///< Time of the reclaim notice for the first failure domain; the second gets its notice 60 s later. Negative for no reclaim.
    bool noReclaimableAfterReclaim = false;
    double storeDownFromMs = -1;
    double storeDownMs = 0;
};

/// Named combination of policies.
struct bench_variant
{
    std::string name;
    route_policy routing;
    admit_policy admission;
    role_policy roles;
    provision_policy provision;
};

constexpr int benchOrganisations = 8;

/// Returns all workloads of the bench.
std::vector<bench_workload> benchWorkloads();

/// Returns all combinations of policies that the bench compares.
std::vector<bench_variant> benchVariants();

/// Returns the weight of an organisation. The first two have a larger one, except under a burst, where all weights are equal.
double benchWeight(const bench_workload &workload, int organisation);

/// Returns all requests of a workload in order of arrival.
std::vector<bench_request> benchRequests(const bench_workload &workload, std::uint64_t seed);

}
