#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Chooses at most one engine of a group to change its role. The goodput that it is expected to gain in the new role within
/// tunables::longDemandHorizon must exceed the goodput lost while it is out of service by the factor tunables::breakEvenMargin.
role_result decideRole(const role_input &input);

/// Throughput of engines in their present roles under a demand, in weighted tokens per second.
struct role_throughput
{
    double goodput = 0; ///< Tokens of requests that get both their prefill and their decode.
    double total = 0; ///< All tokens, with prefill and decode counted separately.
};

role_throughput expectedThroughput(const std::vector<role_endpoint_view> &engines, const token_demand &demand);

}
