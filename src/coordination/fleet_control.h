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

/// What a daemon knows of the fleet of its cell at one moment.
struct fleet_facts
{
    const configuration &config;
    std::map<std::string, endpoint> endpoints; ///< Of the configuration and granted.
    std::vector<endpoint_report> reports;
    std::map<std::string, demand_rates> demand; ///< Of the whole cell, by group.
    bool holdsOrders = false;
    bool holdsProvision = false;
};

/// Decides role changes and endpoint orders for the model groups of a cell while this daemon holds the leases `orders` and `provision`,
/// records each decision and proposes it to the keepers. Reads no clock and does no I/O.
class fleet_control
{
public:
    using record_function = std::function<void(const decision_record &)>;

    fleet_control(order_keeper &orders, provision_keeper &provisions, record_function record);

    void tick(const fleet_facts &facts, instant now);

    /// Endpoints that get no new work because they are about to be given back.
    std::vector<std::string> retiring() const;

private:
    struct domain_shortage
    {
        instant ordinaryUntil;
        instant reclaimableUntil;
    };

    bool isLost(const std::string &endpointId, instant now) const;
    void noteWork(const fleet_facts &facts, instant now);
    void noteGrants(instant now);
    void decideRoles(const fleet_facts &facts, const std::string &group, instant now);
    void decideProvisions(const fleet_facts &facts, const std::string &group, instant now);
    void retire(const fleet_facts &facts, instant now);
    role_input roleInput(const fleet_facts &facts, const std::string &group, instant now) const;
    provision_input provisionInput(const fleet_facts &facts, const std::string &group, instant now) const;

    order_keeper &m_orders;
    provision_keeper &m_provisions;
    record_function m_record;
    instant m_nextDecision;
    std::uint64_t m_decisions = 0;
    std::map<std::string, instant> m_lastWork; ///< By endpoint.
    std::map<std::string, instant> m_lastReachable; ///< By endpoint.
    std::map<std::string, instant> m_lastRoleChange; ///< By group; the time it was first seen when none is known.
    std::map<std::string, instant> m_retiring; ///< Endpoints to give back, since when they get no new work.
    std::map<std::string, domain_shortage> m_shortages; ///< By failure domain.
    std::string m_lastToken; ///< Of the settled provision order that was looked at last.
    std::map<std::string, instant> m_arriving; ///< Granted endpoints that the platform's list does not show yet.
    std::map<std::string, provision_row> m_arrivingRow;
};

}
