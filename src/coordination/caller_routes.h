#pragma once

#include "coordination/serving_context.h"

#include <httplib.h>

namespace lacewinglock
{

/// Registers the HTTP routes for callers. Other routes of the same server must be registered first, because the last route here matches
/// every path.
/// `context` must outlive the server.
void registerCallerRoutes(httplib::Server &server, serving_context &context);

/// Returns the number of caller requests whose responses are not complete. A graceful shutdown waits for 0 before it stops the server,
/// because stopping the server interrupts streams.
int requestsInFlight(const serving_context &context);

}
