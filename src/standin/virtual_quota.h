#pragma once

#include "serving/quota.h"

#include <cstdint>
#include <optional>

namespace lacewinglock
{

/// How the daemons share the quota. All but the first are for comparison.
enum class quota_way {
    Ledger,
    EqualShares, ///< Each daemon keeps to its equal share and hears nothing.
    Slots ///< Daemons take turns by the clock (serving/limit_share.h), with slots for a request of mean cost.
};

/// Part of a run, in seconds since its begin.
struct quota_phase
{
    double fromS = 0;
    double toS = 0;

    bool contains(double timeS) const
    {
        return timeS >= fromS && timeS < toS;
    }
};

/// Load and faults of a run of virtual daemons that share one quota. All requests come from one organisation, at random times and daemons.
struct quota_scenario
{
    std::size_t daemons = 84;
    quota_limits limits{.ratePerSecond = 448'713, .burst = 448'713, .unit = quota_unit::Tokens, .uncountedCost = 200};
    double smallCost = 620; ///< Three of four requests; used for all if the quota counts requests.
    double largeCost = 17'300; ///< The others.
    std::uint64_t seed = 1;
    double seconds = 60;
    double demand = 0.5; ///< Of the rate.
    std::optional<quota_phase> jump;
    double jumpFactor = 7.5;
    double rampS = 0; ///< In which the demand rises to that of the jump.
    std::optional<double> limitsAtS; ///< When a lowered or raised limit is acknowledged; daemons have it up to 2 s later.
    double limitsFactor = 0.25;
    std::optional<double> killAtS; ///< A third of the daemons ends. Their rows in the store are removed 5 s later.
    std::optional<quota_phase> partition; ///< Two thirds of the daemons and the others don't hear each other.
    std::optional<quota_phase> freeze; ///< A third of the daemons does not run.
    double lostSums = 0; ///< Part of the summaries with sums that are lost.
    std::size_t callersAt = 0; ///< Only this many daemons get requests; 0: all.
    std::optional<double> restartAtS; ///< All daemons start again and have forgotten everything.
    bool returns = false; ///< Refused requests come back once, at the time that they were told, anywhere in the fleet.
    quota_way way = quota_way::Ledger;
    quota_phase measured{20, 60}; ///< What is counted as served and refused.
};

struct quota_outcome
{
    double worst = 0; ///< Most units in a window of 8 s, as a fraction of what the rule allows.
    double used = 0; ///< Admitted units, as a fraction of the rate.
    double served = 0; ///< Admitted units, as a fraction of the demand.
    double waited = 0; ///< Admitted requests that waited, as a fraction of all admitted.
    double servedOnReturn = 0; ///< Requests that were served when they came back, as a fraction of those that did.
};

/// Runs the quota ledgers of virtual daemons that exchange sums with delays and losses.
quota_outcome runQuota(const quota_scenario &scenario);

}
