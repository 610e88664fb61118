#pragma once

#include "serving/edge_context.h"

namespace lacewinglock
{

/// Sends this daemon's summary to all members several times a second and takes theirs in. UDP: a lost or late one is replaced by the next.
task<void> sendSummaries(edge_context &context, udp::socket &socket);
task<void> receiveSummaries(edge_context &context, udp::socket &socket);

/// Sends the next summary soon, because this daemon's load changed by so many prompt tokens that others would misplace theirs.
void noteLoadNews(edge_context &context, double promptTokens);

/// This daemon's summary now; takes the parts that were noted since the last one.
daemon_summary makeSummary(edge_context &context);
/// Takes in a peer's summary; older ones than the last are dropped.
void applySummary(edge_context &context, daemon_summary summary);

}
