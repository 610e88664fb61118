#pragma once

#include "coordination/serving_context.h"

#include <httplib.h>

namespace lacewinglock
{

/// Registers the interface for callers. Register other routes of the same server first: the last route of this one matches every path.
/// `context` must outlive the server.
void registerCallerRoutes(httplib::Server &server, serving_context &context);

/// Caller requests that are not yet wholly answered. A graceful shutdown waits for 0 before it stops the server, which cuts streams.
int requestsInFlight(const serving_context &context);

}
