#pragma once

#include "coordination/bench_random.h"
#include "protocol/decisions.h"

#include <string>
#include <vector>

namespace lacewinglock
{

/// One request of a caller.
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
    double loadEngines = 8.4; ///< Engines' worth of work offered.
    double promptShare = 0.4; ///< Part of the work that is prefill, without changes.
    double swing = 0; ///< Largest deviation of the share.
    double swingPeriodMs = 0;
    bool shifting = false; ///< The stated aim for goodput against round robin applies.
    bool sharedPrefixes = false;
    bool burst = false; ///< Organisation 0 offers twice the capacity of the fleet for half of the time.
    double reportLagMs = 200;
    double cacheGapShare = 0; ///< Part of the cache events that are lost.
    bool poison = false;
    bool crashDuringChange = false; ///< An engine is lost whenever a role change starts.
    double reclaimAtMs = -1; ///< All reclaimable endpoints of the first failure domain are withdrawn, later ones of the second.
    bool cheapGoneAfterReclaim = false;
    double storeDownFromMs = -1;
    double storeDownMs = 0;
};

/// A combination of policies.
struct bench_variant
{
    std::string name;
    route_policy routing;
    admit_policy admission;
    role_policy roles;
    provision_policy provision;
};

constexpr int benchOrganisations = 8;

std::vector<bench_workload> benchWorkloads();
std::vector<bench_variant> benchVariants();

/// Weight of an organisation; a few are large, except under the burst, where all have the same share.
double benchWeight(const bench_workload &workload, int organisation);

/// All requests of a workload in order of arrival.
std::vector<bench_request> benchRequests(const bench_workload &workload, std::uint64_t seed);

}
