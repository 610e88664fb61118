#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Admits, delays or refuses a request: limits of organisation and key, token bucket, early refusal when the first token would come after
/// the deadline, and the organisation's weighted share of this daemon's part of the group. A share that is not used may be borrowed.
admit_result decideAdmission(const admit_input &input);

/// Order in which waiting requests run: by weighted fair queueing over what each organisation has been served, in tokens. Requests that
/// can still meet the first-token target come first; under overload late ones would otherwise make all others late.
order_result orderWaiting(const order_input &input);

/// Weighted tokens in flight with which the endpoints of a group meet the token gap target, given the mean cost of a request.
double groupCapacityTokens(const std::vector<endpoint_view> &endpoints, double meanRequestCost);

/// Tokens a request counts for in shares and buckets; output tokens weigh more than prompt tokens.
double requestCost(double promptTokens, double outputTokens);

}
