#pragma once

#include "serving/edge_context.h"
#include "transport/http_server.h"

namespace lacewinglock
{

/// Load it answers: every change of a table wakes all daemons, so what they ask of the store grows with daemons times changes. In each failure
/// domain a few daemons read the store; the others wait at these for what they read.
///
/// Daemons of `domain` that read the store, out of the daemons with their domains: all of a small domain. The same for all that know the same
/// daemons.
std::vector<std::string> chooseRelays(const std::map<std::string, std::string> &domainOf, std::string_view domain);

/// How this daemon follows the tables.
struct feed_role
{
    std::vector<std::string> ask; ///< The daemons that it may ask, in the order of its choice; empty when it reads the store itself.
    bool relaysForOthers = false; ///< Others depend on how recently it asked.
};

feed_role feedRole(const edge_context &context);

/// Waits up to `wait` at another daemon for changes after `version`. `askedAt` of the answer is a time of this daemon's clock: no later than
/// the call to the store, whatever time the messages took. absl::StatusCode::kOutOfRange: the other daemon is not that far yet.
task<absl::StatusOr<table_changes>> askRelay(edge_context &context, std::string relay, platform_table table, std::uint64_t version, duration wait);

/// Answers askRelay of other members.
task<void> answerFeed(edge_context &context, received_request &request, server_reply &reply);

/// Keeps what a follower took in, and answers those that wait for it.
void noteFeed(edge_context &context, platform_table table, const table_changes &changes, bool whole);

}
