#pragma once

#include "serving/caller_exchange.h"

namespace lacewinglock
{

/// Brings the quotas up to date and sets what is published of them. Call before each summary.
void refreshQuotas(edge_context &context);

/// Takes the cost of the request from the quota of its organisation. Otherwise refuses the request, fills in `outcome` and returns false. A request waits
/// for a short time if the quota has room, but not at this daemon at this moment.
task<bool> acquireQuota(edge_context &context, caller_request &request, caller_outcome &outcome);

/// Returns the cost of a request that has ended without running at an endpoint.
void returnQuota(edge_context &context, const caller_request &request, const caller_outcome &outcome);

}
