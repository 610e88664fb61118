#include "coordination/order_permits.h"

#include "protocol/tunables.h"

namespace lacewinglock
{

std::optional<lease_grant> order_permits::valid(const lease_keeper &keeper, instant now)
{
    const auto grant = keeper.grant(now);
    return grant && grant->validUntil >= now + tunables::orderCallLimit ? grant : std::nullopt;
}

std::optional<lease_grant> order_permits::permit(const lease_keeper &keeper, instant now)
{
    const auto grant = valid(keeper, now);
    if (grant) {
        m_lastPermitted = now;
    }
    return grant;
}

bool order_permits::settled(instant now) const
{
    return !m_lastPermitted || now - *m_lastPermitted >= tunables::orderCallLimit;
}

}
