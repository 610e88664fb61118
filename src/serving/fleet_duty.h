#pragma once

#include "serving/edge_context.h"
#include "serving/lease_runner.h"

namespace lacewinglock
{

/// While this daemon holds the lease: orders engines for the demand of all daemons, and changes of role.
task<void> planEngines(edge_context &context, lease_runner &lease);

}
