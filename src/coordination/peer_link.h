#pragma once

#include "coordination/peer_messages.h"
#include "transport/core_time.h"
#include "transport/rpc_loop.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace lacewinglock
{

struct peer_address
{
    std::string id;
    std::string address; ///< IP:port.
};

/// Connections from this daemon to its peers. Each peer has its own connection and its own timeouts, so that a peer that hangs
/// delays no other. All functions are thread-safe but must not be called from the RPC loop's thread.
class peer_link
{
public:
    struct callbacks
    {
        /// A peer answered. `sentAt` is from before the heartbeat was sent, so what the reply says was true at or after it.
        std::function<void(const std::string &peerId, const heartbeat_reply &, instant sentAt)> onReply;
        std::function<void(const std::string &peerId, const std::string &error)> onFailure;
        /// Sizes of the messages of one call.
        std::function<void(std::size_t sent, std::size_t received)> onTraffic = [](std::size_t, std::size_t) {
        };
    };

    /// Callbacks run on the loop's thread and must not block. The loop must outlive the link.
    peer_link(rpc_loop &loop, std::string ownId, std::string clusterSecret, std::function<instant()> now, callbacks results);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Sets the peers; connections to others are closed.
    void setPeers(const std::vector<peer_address> &peers);

    /// Sends one heartbeat to each peer whose last one is answered or failed, connecting where needed.
    void sendHeartbeats(const heartbeat &message);

    /// Pushes a patch to all connected peers.
    void pushPatch(const config_patch &patch);

    /// Asks one peer for patches; the callback gets them on the loop's thread, empty on failure.
    void fetchPatches(const std::string &peerId, std::uint64_t after, std::uint32_t limit, std::function<void(std::vector<config_patch>)> done);

    /// Lets a peer hold records; waits for its answer within the timeout.
    absl::Status holdUsage(const std::string &peerId, std::span<const usage_record> records, std::chrono::milliseconds timeout);

    /// Tells a peer that it need not hold the records any more.
    void releaseUsage(const std::string &peerId, const std::vector<std::string> &requestIds);

private:
    struct implementation;
    rpc_loop &m_loop;
    std::unique_ptr<implementation> m_implementation;
};

}
