#pragma once

#include "serving/edge_context.h"
#include "serving/lease_runner.h"

namespace lacewinglock
{

/// Runs until the daemon stops. While this daemon holds the lease, it orders engine counts to match the demand at all daemons, and role changes.
task<void> planEngines(edge_context &context, lease_runner &lease);

}
