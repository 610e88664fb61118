#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Parts of the predicted cost of a request at one endpoint, in milliseconds.
struct endpoint_cost
{
    double firstTokenMs = 0;
    double queueMs = 0; ///< Part of firstTokenMs spent behind other prompts.
    double prefillMs = 0; ///< First token and its penalties, with the delay of other streams.
    double decodeMs = 0; ///< Output time with its penalties.
    double placementMs = 0; ///< Stale report, KV memory and preference for reclaimable endpoints.
};

/// Predicts the cost of the request at an endpoint. `reclaimablePreferred` tells whether the endpoint's failure domain still has headroom.
endpoint_cost predictCost(const endpoint_view &view, const route_input &input, const cost_routing &policy, bool reclaimablePreferred);

/// Streams that an endpoint can run within the token gap target while `prefillMs` of prefill is added to each step.
int streamCapacity(const endpoint_view &view, double prefillMs);

}
