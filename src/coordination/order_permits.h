#pragma once

#include "coordination/lease_keeper.h"

#include <optional>

namespace lacewinglock
{

/// Permits the orders of a lease holder to receivers that do not check fencing tokens.
///
/// An order must not arrive after the lease has passed to another daemon. So the lease must outlast the call that carries the order, and it is released
/// only when every permitted order has been answered or given up.
class order_permits
{
public:
    /// The lease, if it outlasts an order that is sent now.
    static std::optional<lease_grant> valid(const lease_keeper &keeper, instant now);
    /// Permits one order. The caller sends it at once and gives it up after tunables::orderCallLimit.
    std::optional<lease_grant> permit(const lease_keeper &keeper, instant now);
    /// Whether all permitted orders have been answered or given up.
    bool settled(instant now) const;

private:
    std::optional<instant> m_lastPermitted;
};

}
