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
    std::string address; ///< In the form IP:port.
};

/// RPC connections from this daemon to its peers. Each peer has its own connection and timeouts, so that a hanging peer does not
/// delay calls to the others. All functions are thread-safe but must not be called from the RPC loop's thread.
class peer_link
{
public:
    struct callbacks
    {
        /// Called with a peer's reply to a heartbeat. `sentAt` is from before the heartbeat was sent, so the state in the reply was
        /// valid at `sentAt` or later.
        std::function<void(const std::string &peerId, const heartbeat_reply &, instant sentAt)> onReply;
        /// Called when connecting, the login or a heartbeat fails. The connection is closed then.
        std::function<void(const std::string &peerId, const std::string &error)> onFailure;
        /// Called with message sizes in bytes: the request's when it is sent, the response's when it arrives.
        std::function<void(std::size_t sent, std::size_t received)> onTraffic = [](std::size_t, std::size_t) {
        };
    };

    /// The callbacks run on the loop's thread and must not block. The loop must outlive this object.
    peer_link(rpc_loop &loop, std::string ownId, std::string clusterSecret, std::function<instant()> now, callbacks handlers);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Sets the list of peers and closes the connections to all others.
    void setPeers(const std::vector<peer_address> &peers);

    /// Sends a heartbeat to each peer, except those whose previous exchange is unfinished. Connects and logs in where needed.
    void sendHeartbeats(const heartbeat &message);

    /// Pushes a configuration patch to all connected peers, without waiting or retries.
    void pushPatch(const config_patch &patch);

    /// Requests up to `limit` patches after version `after` from one peer. `done` receives them on the loop's thread; the list is empty
    /// on failure.
    void fetchPatches(const std::string &peerId, std::uint64_t after, std::uint32_t limit, std::function<void(std::vector<config_patch>)> done);

    /// Stores copies of usage records at a peer and waits for its confirmation. Returns an error when the peer is not connected, or does
    /// not confirm within the timeout.
    absl::Status holdUsage(const std::string &peerId, std::span<const usage_record> records, std::chrono::milliseconds timeout);

    /// Asks a peer to delete its copies of usage records, without waiting.
    void releaseUsage(const std::string &peerId, const std::vector<std::string> &requestIds);

private:
    struct implementation;
    rpc_loop &m_loop;
    std::unique_ptr<implementation> m_implementation;
};

}
