#pragma once

#include "serving/edge_context.h"
#include "serving/lease_runner.h"

namespace lacewinglock
{

/// Writes this daemon's usage counts to the store several times per window. Runs until the process ends.
task<void> storeUsage(edge_context &context);

/// While this daemon holds `lease`: sums the stored counts of each ended window, writes the sum to the window's frozen row, and reports it to the
/// platform. A frozen row is never changed and is the only source of a report, so repeated reports of a window always carry the same counts.
task<void> reportUsage(edge_context &context, lease_runner &lease);

}
