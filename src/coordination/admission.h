#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Admits, delays or refuses a request. Checks the limits of the organisation and the key, the token bucket, whether the first token can
/// come before the deadline, and the organisation's weighted share of this daemon's share of the group. Organisations may use the unused
/// shares of others.
admit_result decideAdmission(const admit_input &input);

/// Returns the order in which waiting requests run: weighted fair queueing by the tokens served to each organisation. Requests that can
/// still meet the first-token target come first; under overload late requests would otherwise make all others late.
queue_order_result orderWaiting(const queue_order_input &input);

/// Returns the weighted tokens that may be in flight at a group while its endpoints meet the token gap target. `meanRequestCost` is the mean
/// of requestCost() over the group's requests.
double groupCapacityTokens(const std::vector<endpoint_view> &endpoints, double meanRequestCost);

/// Returns the weighted tokens of a request. Output tokens have a higher weight than prompt tokens.
double requestCost(double promptTokens, double outputTokens);

}
