#pragma once

#include "coordination/order_keeper.h"
#include "coordination/provision_keeper.h"
#include "protocol/configuration.h"
#include "protocol/decisions.h"
#include "state/demand_meter.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewinglock
{

/// The state of the cell's fleet as this daemon sees it at one moment.
struct fleet_snapshot
{
    const configuration &config;
    std::map<std::string, endpoint> endpoints; ///< Endpoints of the configuration and those that the platform granted.
    std::vector<endpoint_report> reports;
    std::map<std::string, demand_rates> demand; ///< Demand in the whole cell, by group.
    bool holdsOrders = false; ///< This daemon holds the lease `orders`.
    bool holdsProvision = false; ///< This daemon holds the lease `provision`.
};

/// Decides role changes and endpoint orders for the model groups of a cell while this daemon holds the leases `orders` and `provision`,
/// records each decision and proposes it to the keepers. Time and state are passed in; it does no I/O.
class fleet_controller
{
public:
    using record_function = std::function<void(const decision_record &)>;

    fleet_controller(order_keeper &orders, provision_keeper &provisions, record_function record);

    /// Updates the activity of the endpoints, and every few seconds makes the decisions that are due.
    void tick(const fleet_snapshot &snapshot, instant now);

    /// Endpoints that get no new work because they are about to be released.
    std::vector<std::string> retiring() const;

private:
    /// Until when a failure domain is taken to have no endpoints of each kind.
    struct domain_shortage
    {
        instant ordinaryUntil;
        instant reclaimableUntil;
    };

    bool isLost(const std::string &endpointId, instant now) const;
    void updateActivity(const fleet_snapshot &snapshot, instant now);
    void processSettledOrder(instant now);
    void decideRoles(const fleet_snapshot &snapshot, const std::string &group, instant now);
    void decideProvisions(const fleet_snapshot &snapshot, const std::string &group, instant now);
    void releaseRetired(const fleet_snapshot &snapshot, instant now);
    role_input roleInput(const fleet_snapshot &snapshot, const std::string &group, instant now) const;
    provision_input provisionInput(const fleet_snapshot &snapshot, const std::string &group, instant now) const;

    order_keeper &m_orders;
    provision_keeper &m_provisions;
    record_function m_record;
    instant m_nextDecisionAt;
    std::uint64_t m_decisionCount = 0;
    std::map<std::string, instant> m_lastBusyAt; ///< By endpoint.
    std::map<std::string, instant> m_lastReachableAt; ///< By endpoint.
    std::map<std::string, instant> m_lastRoleChangeAt; ///< By group; initially the time when the group was first seen.
    std::map<std::string, instant> m_retiringSince; ///< Endpoints to release, with the time since when they get no new work.
    std::map<std::string, domain_shortage> m_shortages; ///< By failure domain.
    std::string m_lastSettledToken; ///< Token of the last settled provision order that was processed.
    std::map<std::string, instant> m_granted; ///< Granted endpoints that are not in the platform's list yet, with the time of the grant.
    std::map<std::string, provision_row> m_grantRows; ///< Settled order that granted each endpoint, by endpoint.
};

}
