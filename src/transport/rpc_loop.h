#pragma once

#include <capnp/rpc-twoparty.h>
#include <chrono>
#include <functional>
#include <kj/async-io.h>
#include <memory>
#include <string>
#include <thread>

namespace lacewinglock
{

/// An open client connection and its RPC session. Used on the loop's thread only; it must outlive the capabilities it gave.
struct rpc_connection
{
    explicit rpc_connection(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened))
        , session(*stream)
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient session;
};

/// What work on the loop's thread may use.
struct rpc_io
{
    kj::Network &network;
    kj::Timer &timer;
    kj::TaskSet &tasks; ///< Background promises; their failures are logged.
};

/// One KJ event loop on a thread of its own. KJ objects belong to that thread: they are made, used and destroyed by work run on it.
class rpc_loop
{
public:
    using work = std::function<void(rpc_io &)>;
    /// Makes the bootstrap capability of one accepted connection.
    using bootstrap_factory = std::function<capnp::Capability::Client()>;

    rpc_loop();
    /// Stops the loop; connections and background promises end.
    ~rpc_loop();
    rpc_loop(const rpc_loop &) = delete;
    rpc_loop &operator=(const rpc_loop &) = delete;

    /// Runs work on the loop's thread and returns when it is done. The work must not block. Not to be called from the loop's thread.
    void run(const work &task) const;

    /// Accepts connections at an IP address; port 0 lets the system choose. Returns the port.
    int listen(const std::string &host, int port, bootstrap_factory factory) const;

private:
    void runLoop(const std::function<void()> &ready);

    kj::Own<const kj::Executor> m_executor;
    rpc_io *m_io = nullptr; ///< Lives on the loop's stack.
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    std::thread m_thread;
};

/// Fails the RPC call in progress when a condition does not hold; the error names the peer.
void requireRpc(bool holds, const char *message, const std::string &peer);

/// Connects to "IP:port" within the timeout. On the loop's thread only.
kj::Promise<kj::Own<rpc_connection>> connectRpc(rpc_io &io, const std::string &address, std::chrono::milliseconds timeout);

}
