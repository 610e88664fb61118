#pragma once

#include "serving/edge_context.h"
#include "serving/lease_runner.h"

namespace lacewinglock
{

/// Stores this daemon's counts a few times per window.
task<void> storeUsage(edge_context &context);

/// While this daemon holds the lease: sums the stored counts of each ended window, freezes the sum in a row, and reports it. A window that is
/// frozen already is reported with the frozen figures only, so no window is reported with different ones.
task<void> reportUsage(edge_context &context, lease_runner &lease);

}
