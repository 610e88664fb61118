#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Chooses at most one engine of a group to change its role. The goodput gained over the expected stay in the new role must exceed the
/// goodput lost while the engine is away by `breakEvenMargin`.
role_result decideRole(const role_input &input);

/// Goodput that engines in their present roles give under a demand, in weighted tokens per second. Prompt and output are served separately,
/// as requests with long prompts and requests with long outputs are different ones.
double expectedGoodput(const std::vector<role_endpoint_view> &engines, const token_demand &demand);

}
