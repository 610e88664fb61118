#pragma once

#include "coordination/peer_messages.h"
#include "transport/rpc_loop.h"

#include <functional>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Handlers for the RPC calls of peers. They run on the RPC loop's thread and must not block.
struct peer_handlers
{
    std::function<heartbeat_reply(heartbeat)> onHeartbeat;
    std::function<void(const std::string &sender, config_patch)> onPatch;
    std::function<std::vector<config_patch>(std::uint64_t after, std::uint32_t limit)> fetchPatches;
    std::function<void(const std::string &sender, std::vector<usage_record>)> holdUsage;
    std::function<void(const std::string &sender, std::vector<std::string> requestIds)> releaseUsage;
    /// Called with the sizes in bytes of the request and the response of one call.
    std::function<void(std::size_t received, std::size_t sent)> onTraffic = [](std::size_t, std::size_t) {
    };
};

/// Makes the factory of the bootstrap capability for connections to this daemon. A peer must log in before it gets the Peer interface.
rpc_loop::bootstrap_factory makePeerServer(std::string ownId, std::string clusterSecret, peer_handlers handlers);

}
