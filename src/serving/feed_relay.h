#pragma once

#include "serving/edge_context.h"
#include "transport/http_server.h"

namespace lacewinglock
{

/// Selects the daemons of `domain` that read the store, given the failure domain of each daemon; in a small domain, all of them. Daemons with the
/// same input select the same relays.
///
/// Relays limit the load of the store. Every change of a table wakes all daemons that wait for it, so the calls to the store grow with the number of
/// daemons times the rate of changes. With relays, a few daemons of each failure domain wait at the store and the others wait at a relay.
std::vector<std::string> chooseRelays(const std::map<std::string, std::string> &domainOf, std::string_view domain);

/// Source from which this daemon follows the tables.
struct feed_role
{
    std::vector<std::string> relays; ///< Daemons to query, in order of preference; empty when this daemon reads the store itself.
    bool relaysForOthers = false; ///< Other daemons query this one, so its data must be recent.
};

/// Determines the role from the peers that are alive.
feed_role feedRole(const edge_context &context);

/// Whether a connection comes from the machine of a member.
bool isMemberAddress(const edge_context &context, const tcp::endpoint &remote);

/// Queries a relay for changes after `version`; the relay waits up to `wait` for the next one. The query fails at `latest` if there is no answer. `requestedAt`
/// of the result is on this daemon's clock and no later than the relay's call to the store, whatever the delay of the messages. Returns OutOfRange when the
/// relay has not reached `version`.
task<absl::StatusOr<table_changes>>
queryRelay(edge_context &context, std::string relay, platform_table table, std::uint64_t version, duration wait, instant latest = instant::max());

/// Serves the requests that queryRelay() of other members sends.
task<void> serveFeed(edge_context &context, received_request &request, server_reply &reply);

/// Records changes that a follower applied, and wakes the requests that wait for them. `snapshot`: `changes` holds the whole table.
void publishChanges(edge_context &context, platform_table table, const table_changes &changes, bool snapshot);

}
