#pragma once

#include <cstddef>
#include <cstdint>

namespace lacewinglock
{

/// One daemon's share of the request limit of an endpoint.
///
/// Time is divided into slots of 1 / `perSecond`, and slot k belongs to the daemon of rank (k + `offset`) mod `daemons`: one request may be sent in each
/// slot. So the sum over all daemons keeps to the limit without messages, however many daemons there are, as long as they agree on their number and on
/// the time (docs/decisions/17-limits-of-endpoints.md).
struct limit_share
{
    double perSecond = 1; ///< Limit for all daemons together; more than 0.
    std::size_t daemons = 1;
    std::size_t rank = 0; ///< Of this daemon among them.
    std::uint64_t offset = 0; ///< Differs between endpoints, so that a daemon's slots at several endpoints are spread.
    double sinceMs = 0; ///< Wall time from which the limit holds. A change moves all slots; those that began earlier are lost.
};

/// The limit that the daemons keep to when an endpoint names `perSecond`: at least 0.09, and lower by up to a twelfth, because a limit that changes by little
/// all the time would move all slots each time.
double roundLimit(double perSecond);

/// Start of the slot that the next request of this daemon takes; the request may be sent at once if it is not after `nowMs`. `usedMs` is the start of the
/// last slot taken. All times are wall times in milliseconds, the same for all daemons.
double nextFreeSlotMs(const limit_share &share, double usedMs, double nowMs);

}
