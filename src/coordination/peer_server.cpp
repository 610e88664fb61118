#include "coordination/peer_server.h"

#include "coordination/peer_login.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr std::uint32_t maxPatchesPerFetch = 200; // Bounds one answer; the caller asks again for the rest.

/// Shared by all connections.
struct server_identity
{
    std::string ownId;
    std::string clusterSecret;
    peer_handlers handlers;
};

using identity_pointer = std::shared_ptr<const server_identity>;

proof_bytes bytesOf(capnp::Data::Reader data)
{
    return {data.begin(), data.end()};
}

kj::ArrayPtr<const kj::byte> toData(const proof_bytes &bytes)
{
    return {bytes.data(), bytes.size()};
}

template <typename Message>
std::size_t bytesIn(const Message &message)
{
    return message.totalSize().wordCount * sizeof(capnp::word);
}

/// The messages of one peer that has logged in.
class peer_server final : public rpc::Peer::Server
{
public:
    peer_server(identity_pointer identity, std::string peerId)
        : m_identity(std::move(identity))
        , m_peerId(std::move(peerId))
    {
    }

protected:
    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        auto message = read(context.getParams().getMessage());
        requireRpc(message.sender == m_peerId, "heartbeat in another daemon's name", m_peerId);
        requireRpc(message.sequence > m_lastSequence, "heartbeat repeated or out of order", m_peerId);
        m_lastSequence = message.sequence;
        write(context.getResults().initReply(), m_identity->handlers.onHeartbeat(std::move(message)));
        countTraffic(context, true);
        return kj::READY_NOW;
    }

    kj::Promise<void> pushPatch(PushPatchContext context) override
    {
        const auto patch = context.getParams().getPatch();
        const auto text = patch.getMergePatch();
        m_identity->handlers.onPatch(m_peerId, {.version = patch.getVersion(), .mergePatch = {text.cStr(), text.size()}, .whole = patch.getWhole()});
        countTraffic(context, false);
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchPatches(FetchPatchesContext context) override
    {
        const auto limit = std::min(context.getParams().getLimit(), maxPatchesPerFetch);
        const auto patches = m_identity->handlers.fetchPatches(context.getParams().getAfter(), limit);
        auto list = context.getResults().initPatches(static_cast<unsigned>(patches.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setVersion(patches[i].version);
            list[i].setMergePatch(patches[i].mergePatch);
            list[i].setWhole(patches[i].whole);
        }
        countTraffic(context, true);
        return kj::READY_NOW;
    }

    kj::Promise<void> holdUsage(HoldUsageContext context) override
    {
        std::vector<usage_record> records;
        for (const auto record : context.getParams().getRecords()) {
            records.push_back(read(record));
        }
        m_identity->handlers.holdUsage(m_peerId, std::move(records));
        countTraffic(context, false);
        return kj::READY_NOW;
    }

    kj::Promise<void> releaseUsage(ReleaseUsageContext context) override
    {
        std::vector<std::string> ids;
        for (const auto id : context.getParams().getRequestIds()) {
            ids.emplace_back(id.cStr(), id.size());
        }
        m_identity->handlers.releaseUsage(m_peerId, std::move(ids));
        countTraffic(context, false);
        return kj::READY_NOW;
    }

private:
    /// Empty answers are not counted.
    template <typename Context>
    void countTraffic(Context &context, bool answered) const
    {
        m_identity->handlers.onTraffic(bytesIn(context.getParams()), answered ? bytesIn(context.getResults().asReader()) : 0);
    }

    identity_pointer m_identity;
    std::string m_peerId;
    std::uint64_t m_lastSequence = 0;
};

/// Second step of the login: the client answers the challenge of this connection, once.
class proof_server final : public rpc::LoginProof::Server
{
public:
    proof_server(identity_pointer identity, login_challenge challenge)
        : m_identity(std::move(identity))
        , m_challenge(std::move(challenge))
    {
    }

protected:
    kj::Promise<void> prove(ProveContext context) override
    {
        requireRpc(!std::exchange(m_used, true), "login challenge was already used", m_challenge.clientId);
        const auto expected = loginProof(m_identity->clusterSecret, login_side::Client, m_challenge);
        requireRpc(sameProof(bytesOf(context.getParams().getClientProof()), expected), "login with a wrong cluster secret", m_challenge.clientId);
        context.getResults().setPeer(kj::heap<peer_server>(m_identity, m_challenge.clientId));
        return kj::READY_NOW;
    }

private:
    identity_pointer m_identity;
    login_challenge m_challenge;
    bool m_used = false;
};

class login_server final : public rpc::Login::Server
{
public:
    explicit login_server(identity_pointer identity)
        : m_identity(std::move(identity))
    {
    }

protected:
    kj::Promise<void> begin(BeginContext context) override
    {
        const auto params = context.getParams();
        login_challenge challenge{
            .clientId = params.getClientId().cStr(),
            .serverId = m_identity->ownId,
            .clientNonce = bytesOf(params.getClientNonce()),
            .serverNonce = makeLoginNonce(),
        };
        requireRpc(challenge.clientNonce.size() == loginNonceBytes, "login nonce has the wrong length", challenge.clientId);
        const auto proof = loginProof(m_identity->clusterSecret, login_side::Server, challenge);
        auto results = context.getResults();
        results.setServerId(m_identity->ownId);
        results.setServerNonce(toData(challenge.serverNonce));
        results.setServerProof(toData(proof));
        results.setProof(kj::heap<proof_server>(m_identity, std::move(challenge)));
        return kj::READY_NOW;
    }

private:
    identity_pointer m_identity;
};

}

rpc_loop::bootstrap_factory makePeerServer(std::string ownId, std::string clusterSecret, peer_handlers handlers)
{
    const identity_pointer identity = std::make_shared<server_identity>(server_identity{
        .ownId = std::move(ownId),
        .clusterSecret = std::move(clusterSecret),
        .handlers = std::move(handlers),
    });
    return [identity]() -> capnp::Capability::Client {
        return rpc::Login::Client(kj::heap<login_server>(identity));
    };
}

}
