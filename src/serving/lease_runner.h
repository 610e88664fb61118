#pragma once

#include "coordination/lease_keeper.h"
#include "serving/edge_context.h"

namespace lacewinglock
{

/// Drives the lease_keeper of one duty against the store.
class lease_runner
{
public:
    lease_runner(edge_context &context, const std::string &duty);

    /// Runs until the daemon stops, then hands the lease over.
    task<void> run();
    /// Lease holder and fencing token for an order, or nothing unless the lease is valid for at least `margin` more. The margin must cover the call that
    /// carries the order.
    std::optional<order_authority> authority(duration margin) const;

private:
    task<void> perform(std::vector<control_effect> effects);
    void updateHolding();
    bool peerHoldsLease() const;

    edge_context &m_context;
    lease_keeper m_keeper;
    std::string m_holderId;
    bool m_holding = false;
};

}
