#include "transport/rpc_loop.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <future>
#include <glog/logging.h>
#include <kj/exception.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace lacewinglock
{

namespace
{

class error_logger final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        // Connections closed by a peer are reported here too and are not errors.
        if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
            LOG(WARNING) << "RPC task failed: " << exception.getDescription().cStr();
        }
    }
};

/// Accepted connection. It exists until the other side disconnects.
struct server_connection
{
    server_connection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client bootstrap)
        : stream(kj::mv(accepted))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

struct socket_address_bytes
{
    sockaddr_storage storage{};
    unsigned length = 0;
};

socket_address_bytes parseSocketAddress(const std::string &host, int port)
{
    socket_address_bytes result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(static_cast<std::uint16_t>(port));
        result.length = sizeof(sockaddr_in);
        return result;
    }
    requireRpc(inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1, "not an IP address", host);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<std::uint16_t>(port));
    result.length = sizeof(sockaddr_in6);
    return result;
}

kj::Promise<void> acceptLoop(kj::ConnectionReceiver &listener, kj::TaskSet &tasks, rpc_loop::bootstrap_factory factory)
{
    return listener.accept().then([&listener, &tasks, factory = std::move(factory)](kj::Own<kj::AsyncIoStream> &&stream) mutable {
        auto connection = kj::heap<server_connection>(kj::mv(stream), factory());
        auto closed = connection->network.onDisconnect();
        tasks.add(closed.attach(kj::mv(connection)));
        return acceptLoop(listener, tasks, std::move(factory));
    });
}

}

rpc_loop::rpc_loop()
{
    std::promise<void> started;
    m_thread = std::thread([this, &started] {
        runLoop([&started] {
            started.set_value();
        });
    });
    started.get_future().wait();
}

rpc_loop::~rpc_loop()
{
    run([this](rpc_io &) {
        m_stop->fulfill();
    });
    m_thread.join();
}

void rpc_loop::runLoop(const std::function<void()> &ready)
{
    auto io = kj::setupAsyncIo();
    error_logger logger;
    kj::TaskSet tasks(logger);
    rpc_io shared{.network = io.provider->getNetwork(), .timer = io.provider->getTimer(), .tasks = tasks};
    auto stop = kj::newPromiseAndFulfiller<void>();
    m_stop = kj::mv(stop.fulfiller);
    m_executor = kj::getCurrentThreadExecutor().addRef();
    m_io = &shared;
    ready();
    stop.promise.wait(io.waitScope);
    m_stop = nullptr;
}

void rpc_loop::run(const work &task) const
{
    m_executor->executeSync([&] {
        task(*m_io);
    });
}

int rpc_loop::listen(const std::string &host, int port, bootstrap_factory factory) const
{
    int boundPort = 0;
    run([&](rpc_io &io) {
        // getSockaddr() needs no name resolution, so it does not wait. Only IP addresses are accepted for this reason.
        auto result = parseSocketAddress(host, port);
        auto listener = io.network.getSockaddr(&result.storage, result.length)->listen();
        boundPort = static_cast<int>(listener->getPort());
        auto &receiver = *listener;
        io.tasks.add(acceptLoop(receiver, io.tasks, std::move(factory)).attach(kj::mv(listener)));
    });
    return boundPort;
}

void requireRpc(bool holds, const char *message, const std::string &peer)
{
    if (!holds) {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, message, peer.c_str()));
    }
}

kj::Promise<kj::Own<rpc_connection>> connectRpc(rpc_io &io, const std::string &address, std::chrono::milliseconds timeout)
{
    auto connecting = io.network.parseAddress(address.c_str()).then([](kj::Own<kj::NetworkAddress> &&parsed) {
        auto promise = parsed->connect();
        return promise.attach(kj::mv(parsed));
    });
    return io.timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(connecting)).then([](kj::Own<kj::AsyncIoStream> &&stream) {
        return kj::heap<rpc_connection>(kj::mv(stream));
    });
}

}
