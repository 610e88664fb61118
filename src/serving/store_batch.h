#pragma once

#include "serving/edge_context.h"

#include <span>

namespace lacewinglock
{

/// Commits unconditional writes of any number and size, split into transactions that the store accepts. Each row is written as a whole or not at all.
/// Returns Committed if all were; otherwise the outcome of the first part that failed, after which no further part is sent. Writes that took effect
/// remain, so the caller repeats all of them: that changes nothing for rows already written or deleted.
task<commit_outcome> commitInParts(edge_context &context, std::span<const row_write> writes);

}
