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

/// Open client connection with its RPC session. For use on the thread of the loop only. It must outlive the capabilities obtained from it.
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

/// I/O facilities for work on the thread of the loop.
struct rpc_io
{
    kj::Network &network;
    kj::Timer &timer;
    kj::TaskSet &tasks; ///< Background promises; their failures are logged.
};

/// KJ event loop on its own thread. KJ objects belong to that thread and may be created, used and destroyed only by work that runs on it.
class rpc_loop
{
public:
    using work = std::function<void(rpc_io &)>;
    /// Creates the bootstrap capability for an accepted connection.
    using bootstrap_factory = std::function<capnp::Capability::Client()>;

    rpc_loop();
    /// Stops the loop, closes all connections and cancels the background promises.
    ~rpc_loop();
    rpc_loop(const rpc_loop &) = delete;
    rpc_loop &operator=(const rpc_loop &) = delete;

    /// Runs work on the thread of the loop and returns when it is done. The work must not block. Must not be called from the thread of the loop.
    void run(const work &task) const;

    /// Accepts connections at an IP address and returns the port. With port 0 the system chooses one. Throws kj::Exception when `host` is not an IP
    /// address or the port can not be bound.
    int listen(const std::string &host, int port, bootstrap_factory factory) const;

private:
    void runLoop(const std::function<void()> &ready);

    kj::Own<const kj::Executor> m_executor;
    rpc_io *m_io = nullptr; ///< Points to a variable on the stack of runLoop().
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    std::thread m_thread;
};

/// Throws a kj::Exception, which fails the RPC call in progress, when the condition is false. The error contains the message and the peer.
void requireRpc(bool holds, const char *message, const std::string &peer);

/// Connects to "IP:port". The promise fails after the timeout. To be called on the thread of the loop only.
kj::Promise<kj::Own<rpc_connection>> connectRpc(rpc_io &io, const std::string &address, std::chrono::milliseconds timeout);

}
