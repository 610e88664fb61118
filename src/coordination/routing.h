#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Chooses the endpoint, or the pair of a prefill and a decode endpoint, by the policy of the input. The default policy takes the lowest
/// predicted cost: queueing, prefill of the uncached suffix of the prompt, KV transfer, decode, and delay of the streams already running.
/// It chooses the best option even when none can meet the service targets, since only admission refuses requests for load. Deterministic:
/// equal inputs give equal results.
route_result decideRoute(const route_input &input);

/// Estimates the prompt tokens that wait at an endpoint now, from its last report and this daemon's own work since then.
double estimateQueuedPromptTokens(const endpoint_view &view, double demandShare = 1);

/// Estimates the streams that run at an endpoint now. Assumes that other daemons started and ended streams in proportion to this one.
int estimateRunningStreams(const endpoint_view &view, double demandShare = 1);

}
