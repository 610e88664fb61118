#pragma once

#include "serving/edge_context.h"

namespace lacewinglock
{

/// Sends this daemon's summary to all members several times a second. The datagrams are UDP: the next summary replaces a lost or late one.
task<void> sendSummaries(edge_context &context, udp::socket &socket);
/// Receives the summaries of other members and applies them.
task<void> receiveSummaries(edge_context &context, udp::socket &socket);

/// Brings the next summary forward if this daemon's load changed by many prompt tokens. Other daemons would else place their requests on outdated loads.
void expediteSummary(edge_context &context, double promptTokens);

/// Creates this daemon's current summary. Consumes the prefix blocks that were recorded since the last one.
daemon_summary makeSummary(edge_context &context);
/// Applies a peer's summary; one older than the last is dropped.
void applySummary(edge_context &context, daemon_summary summary);

}
