#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Chooses the endpoint, or the pair of a prefill and a decode endpoint, with the lowest predicted cost: queueing, prefill of the uncached
/// prompt part, transfer, decode time and delay of the streams already running. It chooses the best one even when none can meet the
/// service targets; refusing is the business of admission. The same input always gives the same result.
route_result decideRoute(const route_input &input);

/// Prompt tokens believed to wait at an endpoint now, from a lagging report and the daemon's own work since.
double queuedPromptTokens(const endpoint_view &view, double demandShare = 1);

/// Streams believed to run at an endpoint now. Other daemons are taken to have started and ended streams in proportion to this one.
int runningStreams(const endpoint_view &view, double demandShare = 1);

}
