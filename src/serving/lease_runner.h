#pragma once

#include "coordination/lease_keeper.h"
#include "coordination/order_permits.h"
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
    /// Epoch of the lease, or nothing if it may end before an order that is sent now is answered or given up.
    std::optional<std::uint64_t> epoch() const;
    /// Authority for one order, to be sent at once and given up after tunables::orderCallLimit. Nothing while epoch() is empty or the daemon stops.
    std::optional<order_authority> authorize();

private:
    task<void> perform(std::vector<control_effect> effects);
    void updateHolding();
    bool peerHoldsLease() const;

    edge_context &m_context;
    lease_keeper m_keeper;
    order_permits m_permits;
    std::string m_holderId;
    bool m_holding = false;
};

}
