#pragma once

#include "serving/edge_context.h"
#include "serving/fleet_place.h"

namespace lacewinglock
{

struct caller_request;

/// When this daemon may send requests to endpoints, as of one moment.
class turn_times
{
public:
    turn_times(const edge_context &context, instant now);

    /// How long to wait before the next request to the endpoint, in whole milliseconds: until the next slot of this daemon if the endpoint names a limit,
    /// and until the end of the pause that the endpoint asked for.
    double heldMs(const endpoint_state &endpoint) const;

private:
    /// Of this daemon in the fleet, and the time that the daemons agree on.
    struct place_and_time
    {
        std::optional<fleet_place> place; ///< nullopt if this daemon is not a known member; it has no slots then.
        double nowMs = 0;
    };
    const place_and_time &findPlaceAndTime() const;

    const edge_context &m_context;
    instant m_now;
    mutable std::optional<place_and_time> m_placeAndTime; ///< Found out when the first limit is met, because it takes time in a large fleet.
};

/// Takes a turn of this daemon at the endpoint if there is one now. Returns false otherwise.
bool takeTurnNow(const edge_context &context, endpoint_state &endpoint);

/// Takes the next turn of this daemon at the endpoint and waits for it; call it before each request to an endpoint. Returns false if the turn lies after
/// the request's deadline, or if the request must not be sent after the wait; then place it again.
task<bool> awaitTurn(edge_context &context, const caller_request &request, endpoint_ptr endpoint);

}
