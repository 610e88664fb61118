#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Predicted cost of a request at one endpoint, by component, in milliseconds.
struct endpoint_cost
{
    double firstTokenMs = 0;
    double queueMs = 0; ///< Time behind other prompts, included in firstTokenMs.
    double prefillMs = 0; ///< firstTokenMs with the penalty for a missed target and the delay of running streams.
    double decodeMs = 0; ///< Time of the output tokens with the penalty for missed targets.
    double placementMs = 0; ///< Penalties for a stale report and a shortage of KV memory, less the bonus of reclaimable endpoints.
};

/// Predicts the cost of the request at an endpoint. With `reclaimablePreferred`, a reclaimable endpoint gets its bonus for repeatable work.
endpoint_cost predictCost(const endpoint_view &view, const route_input &input, const cost_routing &policy, bool reclaimablePreferred);

/// Returns the number of streams that an endpoint can run within the token gap target when each decode step includes `prefillMs` of prefill.
int streamCapacity(const endpoint_view &view, double prefillMs);

}
