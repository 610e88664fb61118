#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Chooses the endpoint with the lowest predicted cost: queueing, prefill of the uncached prompt part and decode time.
/// The same input always gives the same result.
route_result decideRoute(const route_input &input);

}
