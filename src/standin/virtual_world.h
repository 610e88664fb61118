#pragma once

#include "standin/cell_observer.h"
#include "standin/virtual_clock.h"

#include <set>
#include <string>
#include <utility>

namespace lacewinglock
{

/// One mechanism that a test disables at the interfaces of the machines, to show that the matching check reports it.
enum class broken_mechanism {
    None,
    OrderContent, ///< Resent orders reach the endpoint with another content.
    DrainCheck, ///< Load reports say that no stream runs.
    EngineFencing, ///< Endpoints take orders with old fencing tokens.
    FreshnessGate, ///< The gate always answers that requests may be admitted.
    LeaseCondition, ///< Commits of leases have no condition.
    FreezeCondition, ///< Commits of windows have no condition and scans see a part of the batches.
    AttemptIdCheck, ///< Answers of other attempts count as answers of the running one.
    FailureOutcome, ///< Lost connections count as requests that were not sent.
    ClaimCondition, ///< Commits of claims have no condition.
    LeavingNotice, ///< Load reports hide that an endpoint leaves.
    DrainWait, ///< A shutdown does not wait for open requests.
    ConfigCondition, ///< Commits of patches have no condition.
};

constexpr int brokenMechanisms = static_cast<int>(broken_mechanism::ConfigCondition) + 1;
constexpr const char *storeName = "store"; ///< Name of the platform in the list of cuts.

/// What all fakes of one run share.
struct virtual_world
{
    explicit virtual_world(std::uint64_t seed, broken_mechanism mechanism)
        : clock(seed)
        , observer(clock)
        , broken(mechanism)
    {
    }

    /// Two parties reach each other unless the connection between them is cut.
    bool reaches(const std::string &left, const std::string &right) const
    {
        return !cuts.contains(std::minmax(left, right));
    }
    void cut(const std::string &left, const std::string &right)
    {
        cuts.insert(std::minmax(left, right));
    }

    virtual_clock clock;
    cell_observer observer;
    broken_mechanism broken = broken_mechanism::None;
    std::set<std::pair<std::string, std::string>> cuts;
};

}
