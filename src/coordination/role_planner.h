#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Chooses at most one engine of a group to change its role. The goodput gained over the expected stay in the new role must exceed the
/// goodput lost while the engine is away by `breakEvenMargin`.
role_result decideRole(const role_input &input);

/// What engines in their present roles give under a demand, in weighted tokens per second.
struct role_output
{
    double wholeAnswers = 0; ///< Work of answers that get both their prefill and their decode.
    double work = 0; ///< All work, counting prefill and decode separately.
};

role_output expectedOutput(const std::vector<role_endpoint_view> &engines, const token_demand &demand);

}
