#include "coordination/peer_server.h"

#include "coordination/peer_login.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr std::uint32_t maxPatchesPerFetch = 200; // Bounds the size of one response. The peer requests the rest with another call.

/// State shared by all connections.
struct server_state
{
    std::string ownId;
    std::string clusterSecret;
    peer_handlers handlers;
};

using server_state_pointer = std::shared_ptr<const server_state>;

proof_bytes toProofBytes(capnp::Data::Reader data)
{
    return {data.begin(), data.end()};
}

kj::ArrayPtr<const kj::byte> toData(const proof_bytes &bytes)
{
    return {bytes.data(), bytes.size()};
}

template <typename Message>
std::size_t messageBytes(const Message &message)
{
    return message.totalSize().wordCount * sizeof(capnp::word);
}

/// Serves the calls of one peer that has logged in.
class peer_server final : public rpc::Peer::Server
{
public:
    peer_server(server_state_pointer state, std::string peerId)
        : m_state(std::move(state))
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
        write(context.getResults().initReply(), m_state->handlers.onHeartbeat(std::move(message)));
        countTraffic(context, true);
        return kj::READY_NOW;
    }

    kj::Promise<void> pushPatch(PushPatchContext context) override
    {
        const auto patch = context.getParams().getPatch();
        const auto text = patch.getMergePatch();
        m_state->handlers.onPatch(m_peerId, {.version = patch.getVersion(), .mergePatch = {text.cStr(), text.size()}, .whole = patch.getWhole()});
        countTraffic(context, false);
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchPatches(FetchPatchesContext context) override
    {
        const auto limit = std::min(context.getParams().getLimit(), maxPatchesPerFetch);
        const auto patches = m_state->handlers.fetchPatches(context.getParams().getAfter(), limit);
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
        m_state->handlers.holdUsage(m_peerId, std::move(records));
        countTraffic(context, false);
        return kj::READY_NOW;
    }

    kj::Promise<void> releaseUsage(ReleaseUsageContext context) override
    {
        std::vector<std::string> ids;
        for (const auto id : context.getParams().getRequestIds()) {
            ids.emplace_back(id.cStr(), id.size());
        }
        m_state->handlers.releaseUsage(m_peerId, std::move(ids));
        countTraffic(context, false);
        return kj::READY_NOW;
    }

private:
    /// Counts the request, and the response unless it is empty.
    template <typename Context>
    void countTraffic(Context &context, bool hasResults) const
    {
        m_state->handlers.onTraffic(messageBytes(context.getParams()), hasResults ? messageBytes(context.getResults().asReader()) : 0);
    }

    server_state_pointer m_state;
    std::string m_peerId;
    std::uint64_t m_lastSequence = 0;
};

/// Second step of the login: checks the client's proof for the challenge of this connection, once.
class proof_server final : public rpc::LoginProof::Server
{
public:
    proof_server(server_state_pointer state, login_challenge challenge)
        : m_state(std::move(state))
        , m_challenge(std::move(challenge))
    {
    }

protected:
    kj::Promise<void> prove(ProveContext context) override
    {
        requireRpc(!std::exchange(m_used, true), "login challenge was already used", m_challenge.clientId);
        const auto expected = loginProof(m_state->clusterSecret, login_side::Client, m_challenge);
        requireRpc(proofsEqual(toProofBytes(context.getParams().getClientProof()), expected), "login with a wrong cluster secret", m_challenge.clientId);
        context.getResults().setPeer(kj::heap<peer_server>(m_state, m_challenge.clientId));
        return kj::READY_NOW;
    }

private:
    server_state_pointer m_state;
    login_challenge m_challenge;
    bool m_used = false;
};

/// First step of the login: sends this side's proof and a challenge for the client.
class login_server final : public rpc::Login::Server
{
public:
    explicit login_server(server_state_pointer state)
        : m_state(std::move(state))
    {
    }

protected:
    kj::Promise<void> begin(BeginContext context) override
    {
        const auto params = context.getParams();
        login_challenge challenge{
            .clientId = params.getClientId().cStr(),
            .serverId = m_state->ownId,
            .clientNonce = toProofBytes(params.getClientNonce()),
            .serverNonce = makeLoginNonce(),
        };
        requireRpc(challenge.clientNonce.size() == loginNonceBytes, "login nonce has the wrong length", challenge.clientId);
        const auto proof = loginProof(m_state->clusterSecret, login_side::Server, challenge);
        auto results = context.getResults();
        results.setServerId(m_state->ownId);
        results.setServerNonce(toData(challenge.serverNonce));
        results.setServerProof(toData(proof));
        results.setProof(kj::heap<proof_server>(m_state, std::move(challenge)));
        return kj::READY_NOW;
    }

private:
    server_state_pointer m_state;
};

}

rpc_loop::bootstrap_factory makePeerServer(std::string ownId, std::string clusterSecret, peer_handlers handlers)
{
    const server_state_pointer state = std::make_shared<server_state>(server_state{
        .ownId = std::move(ownId),
        .clusterSecret = std::move(clusterSecret),
        .handlers = std::move(handlers),
    });
    return [state]() -> capnp::Capability::Client {
        return rpc::Login::Client(kj::heap<login_server>(state));
    };
}

}
