#pragma once

#include "serving/edge_context.h"

namespace lacewinglock
{

/// How long requests for changes wait, derived from the bound within which a change must take effect. Data of a relay is up to two store waits old,
/// and the request to the relay adds one relay wait. Older data means that the relay lost the store; the store is then queried well within the bound.
struct feed_bounds
{
    duration storeWait;
    duration relayWait;
    duration maxRelayDataAge;
};

feed_bounds feedBounds(const edge_settings &settings, platform_table table);

/// Keeps the configuration current: reads it, then waits for changes. Versions only rise; a configuration that can't be parsed is logged and not used.
task<void> followConfiguration(edge_context &context);

/// Keeps the list of endpoints current.
task<void> followEndpoints(edge_context &context);

/// Writes this daemon's member row, then reads the rows of the other members periodically.
task<void> maintainMembership(edge_context &context);

/// Removes this daemon's member row.
task<void> leaveMembership(edge_context &context);

}
