#include "coordination/peer_link.h"

#include "coordination/peer_login.h"
#include "protocol/errors.h"
#include "protocol/tunables.h"

#include <future>
#include <glog/logging.h>
#include <map>
#include <optional>
#include <utility>

namespace lacewinglock
{

namespace
{

kj::ArrayPtr<const kj::byte> toData(const proof_bytes &bytes)
{
    return {bytes.data(), bytes.size()};
}

proof_bytes toProofBytes(capnp::Data::Reader data)
{
    return {data.begin(), data.end()};
}

template <typename Message>
std::size_t messageBytes(const Message &message)
{
    return message.totalSize().wordCount * sizeof(capnp::word);
}

/// The connection to one peer, used on the loop's thread only. The members are ordered so that a pending exchange is destroyed before the
/// capability, and the capability before the connection.
struct peer_connection
{
    peer_address target;
    kj::Own<rpc_connection> connection;
    std::optional<rpc::Peer::Client> peer;
    std::uint64_t sequence = 0;
    bool heartbeatInFlight = false;
    kj::Promise<void> heartbeatExchange = nullptr;

    void disconnect()
    {
        peer.reset();
        connection = nullptr;
    }
};

kj::Promise<rpc::Peer::Client> login(rpc::Login::Client bootstrap, const std::string &ownId, const std::string &peerId, const std::string &secret)
{
    auto challenge = std::make_shared<login_challenge>(login_challenge{.clientId = ownId, .clientNonce = makeLoginNonce()});
    auto request = bootstrap.beginRequest();
    request.setClientId(challenge->clientId);
    request.setClientNonce(toData(challenge->clientNonce));
    return request.send().then([challenge, peerId, secret](capnp::Response<rpc::Login::BeginResults> &&answer) {
        challenge->serverId = answer.getServerId().cStr();
        challenge->serverNonce = toProofBytes(answer.getServerNonce());
        requireRpc(challenge->serverId == peerId, "login: the peer at this address has an unexpected instance id", challenge->serverId);
        const auto expected = loginProof(secret, login_side::Server, *challenge);
        requireRpc(proofsEqual(toProofBytes(answer.getServerProof()), expected), "login: the peer's proof does not match the cluster secret", peerId);
        auto prove = answer.getProof().proveRequest();
        prove.setClientProof(toData(loginProof(secret, login_side::Client, *challenge)));
        return prove.send().then([](capnp::Response<rpc::LoginProof::ProveResults> &&proved) {
            return proved.getPeer();
        });
    });
}

}

struct peer_link::implementation
{
    std::string ownId;
    std::string clusterSecret;
    std::function<instant()> now;
    callbacks handlers;
    std::map<std::string, std::unique_ptr<peer_connection>> connections;

    peer_connection *findConnected(const std::string &peerId)
    {
        const auto found = connections.find(peerId);
        return found != connections.end() && found->second->peer ? found->second.get() : nullptr;
    }

    kj::Promise<void> connect(rpc_io &io, peer_connection &remote)
    {
        return connectRpc(io, remote.target.address, tunables::peerCallTimeout).then([this, &io, &remote](kj::Own<rpc_connection> &&opened) {
            remote.connection = kj::mv(opened);
            remote.sequence = 0;
            auto loggingIn = login(remote.connection->session.bootstrap().castAs<rpc::Login>(), ownId, remote.target.id, clusterSecret);
            return withTimeout(io, kj::mv(loggingIn)).then([&remote](rpc::Peer::Client &&peer) {
                remote.peer = kj::mv(peer);
            });
        });
    }

    kj::Promise<void> exchangeHeartbeat(rpc_io &io, peer_connection &remote, const std::shared_ptr<const heartbeat> &message)
    {
        auto request = remote.peer->heartbeatRequest();
        write(request.initMessage(), *message);
        request.getMessage().setSequence(++remote.sequence);
        handlers.onTraffic(messageBytes(request), 0);
        const instant sentAt = now();
        return withTimeout(io, request.send().then([this, &remote, sentAt](capnp::Response<rpc::Peer::HeartbeatResults> &&answer) {
            handlers.onTraffic(0, messageBytes(answer));
            handlers.onReply(remote.target.id, read(answer.getReply()), sentAt);
        }));
    }

    void startHeartbeat(rpc_io &io, peer_connection &remote, const std::shared_ptr<const heartbeat> &message)
    {
        if (remote.heartbeatInFlight) {
            return;
        }
        remote.heartbeatInFlight = true;
        kj::Promise<void> ready = remote.peer ? kj::Promise<void>(kj::READY_NOW) : connect(io, remote);
        remote.heartbeatExchange = ready
                                       .then([this, &io, &remote, message] {
                                           return exchangeHeartbeat(io, remote, message);
                                       })
                                       .then(
                                           [&remote] {
                                               remote.heartbeatInFlight = false;
                                           },
                                           [this, &remote](kj::Exception &&error) {
                                               remote.heartbeatInFlight = false;
                                               remote.disconnect();
                                               handlers.onFailure(remote.target.id, error.getDescription().cStr());
                                           })
                                       .eagerlyEvaluate(nullptr);
    }

    template <typename Result>
    static kj::Promise<Result> withTimeout(rpc_io &io, kj::Promise<Result> &&promise)
    {
        return io.timer.timeoutAfter(std::chrono::milliseconds(tunables::peerCallTimeout).count() * kj::MILLISECONDS, kj::mv(promise));
    }
};

peer_link::peer_link(rpc_loop &loop, std::string ownId, std::string clusterSecret, std::function<instant()> now, callbacks handlers)
    : m_loop(loop)
    , m_implementation(std::make_unique<implementation>())
{
    m_implementation->ownId = std::move(ownId);
    m_implementation->clusterSecret = std::move(clusterSecret);
    m_implementation->now = std::move(now);
    m_implementation->handlers = std::move(handlers);
}

peer_link::~peer_link()
{
    m_loop.run([this](rpc_io &) {
        m_implementation->connections.clear();
    });
}

void peer_link::setPeers(const std::vector<peer_address> &peers)
{
    m_loop.run([&](rpc_io &) {
        auto &connections = m_implementation->connections;
        std::map<std::string, std::unique_ptr<peer_connection>> next;
        for (const auto &peer : peers) {
            const auto existing = connections.find(peer.id);
            if (existing != connections.end() && existing->second->target.address == peer.address) {
                next[peer.id] = std::move(existing->second);
            } else {
                next[peer.id] = std::make_unique<peer_connection>();
                next[peer.id]->target = peer;
            }
        }
        connections = std::move(next);
    });
}

void peer_link::sendHeartbeats(const heartbeat &message)
{
    const auto shared = std::make_shared<const heartbeat>(message);
    m_loop.run([&](rpc_io &io) {
        for (const auto &[id, remote] : m_implementation->connections) {
            m_implementation->startHeartbeat(io, *remote, shared);
        }
    });
}

void peer_link::pushPatch(const config_patch &patch)
{
    m_loop.run([&](rpc_io &io) {
        for (const auto &[id, remote] : m_implementation->connections) {
            if (!remote->peer) {
                continue;
            }
            auto request = remote->peer->pushPatchRequest();
            request.initPatch().setVersion(patch.version);
            request.getPatch().setMergePatch(patch.mergePatch);
            request.getPatch().setWhole(patch.whole);
            m_implementation->handlers.onTraffic(messageBytes(request), 0);
            io.tasks.add(implementation::withTimeout(io, request.send().ignoreResult()));
        }
    });
}

void peer_link::fetchPatches(const std::string &peerId, std::uint64_t after, std::uint32_t limit, std::function<void(std::vector<config_patch>)> done)
{
    m_loop.run([&](rpc_io &io) {
        auto *remote = m_implementation->findConnected(peerId);
        if (remote == nullptr) {
            done({});
            return;
        }
        auto request = remote->peer->fetchPatchesRequest();
        request.setAfter(after);
        request.setLimit(limit);
        m_implementation->handlers.onTraffic(messageBytes(request), 0);
        auto received = request.send().then([this, done](capnp::Response<rpc::Peer::FetchPatchesResults> &&answer) {
            m_implementation->handlers.onTraffic(0, messageBytes(answer));
            std::vector<config_patch> patches;
            for (const auto patch : answer.getPatches()) {
                patches.push_back(
                    {.version = patch.getVersion(), .mergePatch = {patch.getMergePatch().cStr(), patch.getMergePatch().size()}, .whole = patch.getWhole()});
            }
            done(std::move(patches));
        });
        io.tasks.add(implementation::withTimeout(io, kj::mv(received)).catch_([done](kj::Exception &&) {
            done({});
        }));
    });
}

absl::Status peer_link::holdUsage(const std::string &peerId, std::span<const usage_record> records, std::chrono::milliseconds timeout)
{
    const auto outcome = std::make_shared<std::promise<absl::Status>>();
    auto answer = outcome->get_future();
    m_loop.run([&](rpc_io &io) {
        auto *remote = m_implementation->findConnected(peerId);
        if (remote == nullptr) {
            outcome->set_value(makeError(absl::StatusCode::kUnavailable, "hold usage", peerId, "no connection to the peer"));
            return;
        }
        auto request = remote->peer->holdUsageRequest();
        auto list = request.initRecords(static_cast<unsigned>(records.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            write(list[i], records[i]);
        }
        m_implementation->handlers.onTraffic(messageBytes(request), 0);
        auto sent = request.send().ignoreResult();
        io.tasks.add(io.timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(sent))
                         .then(
                             [outcome] {
                                 outcome->set_value(absl::OkStatus());
                             },
                             [outcome, peerId](kj::Exception &&error) {
                                 outcome->set_value(makeError(absl::StatusCode::kUnavailable, "hold usage", peerId, error.getDescription().cStr()));
                             }));
    });
    // The RPC timeout normally fires first. The longer wait here only covers a loop that stops before the call completes.
    if (answer.wait_for(timeout + timeout) != std::future_status::ready) {
        return makeError(absl::StatusCode::kDeadlineExceeded, "hold usage", peerId, "no answer");
    }
    return answer.get();
}

void peer_link::releaseUsage(const std::string &peerId, const std::vector<std::string> &requestIds)
{
    m_loop.run([&](rpc_io &io) {
        auto *remote = m_implementation->findConnected(peerId);
        if (remote == nullptr) {
            return;
        }
        auto request = remote->peer->releaseUsageRequest();
        auto list = request.initRequestIds(static_cast<unsigned>(requestIds.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list.set(i, requestIds[i]);
        }
        m_implementation->handlers.onTraffic(messageBytes(request), 0);
        io.tasks.add(implementation::withTimeout(io, request.send().ignoreResult()));
    });
}

}
