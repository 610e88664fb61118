#pragma once

#include "standin/cell_observer.h"
#include "standin/virtual_clock.h"

#include <set>
#include <string>
#include <utility>

namespace lacewinglock
{

/// Safety mechanism that a test disables at the interfaces of the state machines, to show that the corresponding check detects it.
enum class broken_mechanism {
    None,
    OrderContent, ///< Repeated orders reach the endpoint with different content.
    DrainCheck, ///< Load reports always contain 0 running streams.
    EngineFencing, ///< Endpoints accept orders with old fencing tokens.
    FreshnessGate, ///< The freshness gate admits every request.
    LeaseCondition, ///< Lease commits have no conditions.
    FreezeCondition, ///< Commits of usage windows have no conditions.
    AttemptIdCheck, ///< Tokens of other attempts are accepted as tokens of the running attempt.
    FailureOutcome, ///< Lost connections are classified as requests that were not sent.
    ClaimCondition, ///< Claim commits have no conditions.
    LeavingNotice, ///< Load reports omit that an endpoint is leaving.
    DrainWait, ///< Shutdown does not wait for open requests.
    ConfigCondition, ///< Commits of configuration patches have no conditions.
};

constexpr int brokenMechanismCount = static_cast<int>(broken_mechanism::ConfigCondition) + 1;
constexpr const char *storeName = "store"; ///< Name of the platform in the set of cut connections.

/// State that all simulated components of a run share.
struct virtual_world
{
    explicit virtual_world(std::uint64_t seed, broken_mechanism mechanism)
        : clock(seed)
        , observer(clock)
        , broken(mechanism)
    {
    }

    /// Whether the connection between two daemons, or a daemon and the platform, is intact.
    bool reaches(const std::string &left, const std::string &right) const
    {
        return !cutConnections.contains(std::minmax(left, right));
    }
    void cutConnection(const std::string &left, const std::string &right)
    {
        cutConnections.insert(std::minmax(left, right));
    }

    virtual_clock clock;
    cell_observer observer;
    broken_mechanism broken = broken_mechanism::None;
    std::set<std::pair<std::string, std::string>> cutConnections;
};

}
