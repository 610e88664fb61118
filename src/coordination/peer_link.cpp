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

proof_bytes bytesOf(capnp::Data::Reader data)
{
    return {data.begin(), data.end()};
}

template <typename Message>
std::size_t bytesIn(const Message &message)
{
    return message.totalSize().wordCount * sizeof(capnp::word);
}

/// One peer, used on the loop's thread only. Declared so that calls end before the capability and the connection go.
struct remote
{
    peer_address target;
    kj::Own<rpc_connection> connection;
    std::optional<rpc::Peer::Client> peer;
    std::uint64_t sequence = 0;
    bool busy = false;
    kj::Promise<void> exchange = nullptr;

    void drop()
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
        challenge->serverNonce = bytesOf(answer.getServerNonce());
        requireRpc(challenge->serverId == peerId, "another daemon answers at this address", challenge->serverId);
        const auto expected = loginProof(secret, login_side::Server, *challenge);
        requireRpc(sameProof(bytesOf(answer.getServerProof()), expected), "peer does not know the cluster secret", peerId);
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
    callbacks results;
    std::map<std::string, std::unique_ptr<remote>> remotes;

    remote *connected(const std::string &peerId)
    {
        const auto found = remotes.find(peerId);
        return found != remotes.end() && found->second->peer ? found->second.get() : nullptr;
    }

    kj::Promise<void> connect(rpc_io &io, remote &to)
    {
        return connectRpc(io, to.target.address, tunables::peerCallTimeout).then([this, &io, &to](kj::Own<rpc_connection> &&opened) {
            to.connection = kj::mv(opened);
            to.sequence = 0;
            auto proving = login(to.connection->session.bootstrap().castAs<rpc::Login>(), ownId, to.target.id, clusterSecret);
            return withTimeout(io, kj::mv(proving)).then([&to](rpc::Peer::Client &&peer) {
                to.peer = kj::mv(peer);
            });
        });
    }

    kj::Promise<void> exchangeHeartbeat(rpc_io &io, remote &to, const std::shared_ptr<const heartbeat> &message)
    {
        auto request = to.peer->heartbeatRequest();
        write(request.initMessage(), *message);
        request.getMessage().setSequence(++to.sequence);
        results.onTraffic(bytesIn(request), 0);
        const instant sentAt = now();
        return withTimeout(io, request.send().then([this, &to, sentAt](capnp::Response<rpc::Peer::HeartbeatResults> &&answer) {
            results.onTraffic(0, bytesIn(answer));
            results.onReply(to.target.id, read(answer.getReply()), sentAt);
        }));
    }

    void startExchange(rpc_io &io, remote &to, const std::shared_ptr<const heartbeat> &message)
    {
        if (to.busy) {
            return;
        }
        to.busy = true;
        kj::Promise<void> ready = to.peer ? kj::Promise<void>(kj::READY_NOW) : connect(io, to);
        to.exchange = ready
                          .then([this, &io, &to, message] {
                              return exchangeHeartbeat(io, to, message);
                          })
                          .then(
                              [&to] {
                                  to.busy = false;
                              },
                              [this, &to](kj::Exception &&error) {
                                  to.busy = false;
                                  to.drop();
                                  results.onFailure(to.target.id, error.getDescription().cStr());
                              })
                          .eagerlyEvaluate(nullptr);
    }

    template <typename Result>
    static kj::Promise<Result> withTimeout(rpc_io &io, kj::Promise<Result> &&promise)
    {
        return io.timer.timeoutAfter(std::chrono::milliseconds(tunables::peerCallTimeout).count() * kj::MILLISECONDS, kj::mv(promise));
    }
};

peer_link::peer_link(rpc_loop &loop, std::string ownId, std::string clusterSecret, std::function<instant()> now, callbacks results)
    : m_loop(loop)
    , m_implementation(std::make_unique<implementation>())
{
    m_implementation->ownId = std::move(ownId);
    m_implementation->clusterSecret = std::move(clusterSecret);
    m_implementation->now = std::move(now);
    m_implementation->results = std::move(results);
}

peer_link::~peer_link()
{
    m_loop.run([this](rpc_io &) {
        m_implementation->remotes.clear();
    });
}

void peer_link::setPeers(const std::vector<peer_address> &peers)
{
    m_loop.run([&](rpc_io &) {
        auto &remotes = m_implementation->remotes;
        std::map<std::string, std::unique_ptr<remote>> next;
        for (const auto &peer : peers) {
            const auto known = remotes.find(peer.id);
            if (known != remotes.end() && known->second->target.address == peer.address) {
                next[peer.id] = std::move(known->second);
            } else {
                next[peer.id] = std::make_unique<remote>();
                next[peer.id]->target = peer;
            }
        }
        remotes = std::move(next);
    });
}

void peer_link::sendHeartbeats(const heartbeat &message)
{
    const auto shared = std::make_shared<const heartbeat>(message);
    m_loop.run([&](rpc_io &io) {
        for (const auto &[id, to] : m_implementation->remotes) {
            m_implementation->startExchange(io, *to, shared);
        }
    });
}

void peer_link::pushPatch(const config_patch &patch)
{
    m_loop.run([&](rpc_io &io) {
        for (const auto &[id, to] : m_implementation->remotes) {
            if (!to->peer) {
                continue;
            }
            auto request = to->peer->pushPatchRequest();
            request.initPatch().setVersion(patch.version);
            request.getPatch().setMergePatch(patch.mergePatch);
            request.getPatch().setWhole(patch.whole);
            m_implementation->results.onTraffic(bytesIn(request), 0);
            io.tasks.add(implementation::withTimeout(io, request.send().ignoreResult()));
        }
    });
}

void peer_link::fetchPatches(const std::string &peerId, std::uint64_t after, std::uint32_t limit, std::function<void(std::vector<config_patch>)> done)
{
    m_loop.run([&](rpc_io &io) {
        auto *to = m_implementation->connected(peerId);
        if (to == nullptr) {
            done({});
            return;
        }
        auto request = to->peer->fetchPatchesRequest();
        request.setAfter(after);
        request.setLimit(limit);
        m_implementation->results.onTraffic(bytesIn(request), 0);
        auto answered = request.send().then([this, done](capnp::Response<rpc::Peer::FetchPatchesResults> &&answer) {
            m_implementation->results.onTraffic(0, bytesIn(answer));
            std::vector<config_patch> patches;
            for (const auto patch : answer.getPatches()) {
                patches.push_back(
                    {.version = patch.getVersion(), .mergePatch = {patch.getMergePatch().cStr(), patch.getMergePatch().size()}, .whole = patch.getWhole()});
            }
            done(std::move(patches));
        });
        io.tasks.add(implementation::withTimeout(io, kj::mv(answered)).catch_([done](kj::Exception &&) {
            done({});
        }));
    });
}

absl::Status peer_link::holdUsage(const std::string &peerId, std::span<const usage_record> records, std::chrono::milliseconds timeout)
{
    const auto held = std::make_shared<std::promise<absl::Status>>();
    auto answer = held->get_future();
    m_loop.run([&](rpc_io &io) {
        auto *to = m_implementation->connected(peerId);
        if (to == nullptr) {
            held->set_value(makeError(absl::StatusCode::kUnavailable, "hold usage", peerId, "not connected"));
            return;
        }
        auto request = to->peer->holdUsageRequest();
        auto list = request.initRecords(static_cast<unsigned>(records.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            write(list[i], records[i]);
        }
        m_implementation->results.onTraffic(bytesIn(request), 0);
        auto sent = request.send().ignoreResult();
        io.tasks.add(io.timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(sent))
                         .then(
                             [held] {
                                 held->set_value(absl::OkStatus());
                             },
                             [held, peerId](kj::Exception &&error) {
                                 held->set_value(makeError(absl::StatusCode::kUnavailable, "hold usage", peerId, error.getDescription().cStr()));
                             }));
    });
    // The second timeout covers a loop that stops before the call ends.
    if (answer.wait_for(timeout + timeout) != std::future_status::ready) {
        return makeError(absl::StatusCode::kDeadlineExceeded, "hold usage", peerId, "no answer");
    }
    return answer.get();
}

void peer_link::releaseUsage(const std::string &peerId, const std::vector<std::string> &requestIds)
{
    m_loop.run([&](rpc_io &io) {
        auto *to = m_implementation->connected(peerId);
        if (to == nullptr) {
            return;
        }
        auto request = to->peer->releaseUsageRequest();
        auto list = request.initRequestIds(static_cast<unsigned>(requestIds.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list.set(i, requestIds[i]);
        }
        m_implementation->results.onTraffic(bytesIn(request), 0);
        io.tasks.add(implementation::withTimeout(io, request.send().ignoreResult()));
    });
}

}
