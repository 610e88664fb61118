#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Admits, delays or refuses a request: limits of organisation and key, token bucket, early refusal when the first token would come after
/// the deadline, and the organisation's weighted share of this daemon's part of the group. A share that is not used may be borrowed.
admit_result decideAdmission(const admit_input &input);

/// Order in which waiting requests run: by weighted fair queueing over what each organisation has been served, in tokens.
order_result orderWaiting(const order_input &input);

/// Tokens a request counts for in shares and buckets; output tokens weigh more than prompt tokens.
double requestCost(double promptTokens, double outputTokens);

}
