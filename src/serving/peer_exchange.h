#pragma once

#include "serving/edge_context.h"

namespace lacewinglock
{

/// Sends the messages of the state exchange that are due, as UDP datagrams, until the daemon ends. A lost datagram is not repeated.
task<void> sendExchange(edge_context &context, udp::socket &socket);
/// Receives the messages of other members, and applies and answers them.
task<void> receiveExchange(edge_context &context, udp::socket &socket);

/// Replaces the members and their part in the exchange.
void updateMembers(edge_context &context, std::map<std::string, member_entry, std::less<>> members);
/// Brings the next summary forward if this daemon's load changed by many prompt tokens. Other daemons would else place their requests on outdated loads.
void expediteSummary(edge_context &context, double promptTokens);
/// Brings the next summary forward.
void expediteSummary(edge_context &context);
/// Records that a prompt with these shared blocks and `unsharedTokens` more was sent to an engine, and announces it if the prefix is long enough for
/// other daemons to prefer that engine.
void announcePrefix(edge_context &context, std::span<const prefix_block> shared, double unsharedTokens, std::uint64_t engine);

/// Creates this daemon's current summary. Consumes the prefix uses that were announced since the last one.
daemon_summary makeSummary(edge_context &context);
/// Applies the changes that the exchange has collected.
void applyExchangeEvents(edge_context &context);

}
