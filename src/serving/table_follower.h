#pragma once

#include "serving/edge_context.h"

namespace lacewinglock
{

/// Keeps the configuration current: reads it, then waits for changes. Versions only rise; a configuration that can't be parsed is logged and not used.
task<void> followConfiguration(edge_context &context);

/// Keeps the list of endpoints current.
task<void> followEndpoints(edge_context &context);

/// Writes this daemon's member row, then reads the rows of the other members periodically.
task<void> maintainMembership(edge_context &context);

/// Removes this daemon's member row.
task<void> leaveMembership(edge_context &context);

}
