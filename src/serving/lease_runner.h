#pragma once

#include "coordination/lease_keeper.h"
#include "serving/edge_context.h"

namespace lacewinglock
{

/// Runs the lease machine of one duty against the store.
class lease_runner
{
public:
    lease_runner(edge_context &context, const std::string &duty);

    /// Until the daemon stops; then hands the lease over.
    task<void> run();
    /// The right to act for at least `margin` more, which must cover the call that is about to be made.
    std::optional<order_authority> authority(duration margin) const;

private:
    task<void> perform(std::vector<control_effect> effects);
    void noteHolder();
    bool heardHolder(instant now) const;

    edge_context &m_context;
    lease_keeper m_keeper;
    std::string m_holderId;
    bool m_holding = false;
};

}
