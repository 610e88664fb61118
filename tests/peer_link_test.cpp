#include "coordination/peer_link.h"
#include "coordination/peer_login.h"
#include "coordination/peer_server.h"

#include <atomic>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <thread>

namespace lacewinglock
{

namespace
{

instant steadyNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// The RPC server and client of one daemon on loopback, with counters in place of the daemon's state.
struct peer_fixture
{
    peer_fixture(const std::string &id, const std::string &secret)
        : ownId(id)
        , link(loop, id, secret, steadyNow, callbacks())
    {
        port = loop.listen("127.0.0.1", 0, makePeerServer(id, secret, handlers()));
    }

    peer_handlers handlers()
    {
        return {
            .onHeartbeat =
                [this](const heartbeat &message) {
                    ++heartbeatsReceived;
                    lastReportCount = static_cast<int>(message.reports.size());
                    return heartbeat_reply{.configVersion = 7, .rosterVersion = 3};
                },
            .onPatch =
                [this](const std::string &, const config_patch &patch) {
                    lastPatch = patch.version;
                },
            .fetchPatches =
                [](std::uint64_t after, std::uint32_t) {
                    return std::vector<config_patch>{{.version = after + 1, .mergePatch = "{}"}};
                },
            .holdUsage =
                [this](const std::string &, const std::vector<usage_record> &records) {
                    heldRecords += static_cast<int>(records.size());
                },
            .releaseUsage =
                [this](const std::string &, const std::vector<std::string> &ids) {
                    heldRecords -= static_cast<int>(ids.size());
                },
        };
    }

    peer_link::callbacks callbacks()
    {
        return {
            .onReply =
                [this](const std::string &, const heartbeat_reply &reply, instant) {
                    ++replies;
                    lastVersion = reply.configVersion;
                },
            .onFailure =
                [this](const std::string &, const std::string &) {
                    ++failures;
                },
        };
    }

    peer_address address() const
    {
        return {.id = ownId, .address = "127.0.0.1:" + std::to_string(port)};
    }

    std::string ownId;
    std::atomic<int> heartbeatsReceived = 0;
    std::atomic<int> replies = 0;
    std::atomic<int> failures = 0;
    std::atomic<int> heldRecords = 0;
    std::atomic<int> lastReportCount = 0;
    std::atomic<std::uint64_t> lastPatch = 0;
    std::atomic<std::uint64_t> lastVersion = 0;
    int port = 0;
    rpc_loop loop;
    peer_link link;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 500 && !condition(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

// Guards against a peer that gets the Peer capability without the cluster secret.
TEST(peer_link_test, a_wrong_secret_is_refused)
{
    peer_fixture server("d1", "right");
    peer_fixture client("d2", "wrong");
    client.link.setPeers({server.address()});
    client.link.sendHeartbeats({.sender = "d2"});
    EXPECT_TRUE(eventually([&] {
        return client.failures > 0;
    }));
    EXPECT_EQ(server.heartbeatsReceived, 0);
    EXPECT_EQ(client.replies, 0);
}

// Guards against a login proof that can be reflected to its sender, or replayed on another connection.
TEST(peer_link_test, a_proof_is_valid_for_one_side_and_one_connection)
{
    login_challenge challenge{.clientId = "d1", .serverId = "d2", .clientNonce = makeLoginNonce(), .serverNonce = makeLoginNonce()};
    const auto proof = loginProof("secret", login_side::Client, challenge);
    EXPECT_FALSE(proofsEqual(proof, loginProof("secret", login_side::Server, challenge)));
    EXPECT_TRUE(proofsEqual(proof, loginProof("secret", login_side::Client, challenge)));
    challenge.serverNonce = makeLoginNonce();
    EXPECT_FALSE(proofsEqual(proof, loginProof("secret", login_side::Client, challenge)));
    EXPECT_FALSE(proofsEqual({}, {}));
}

// Guards against a daemon that sends a heartbeat with the instance id of another daemon.
TEST(peer_link_test, a_heartbeat_with_another_sender_is_refused)
{
    peer_fixture server("d1", "secret");
    peer_fixture client("d2", "secret");
    client.link.setPeers({server.address()});
    client.link.sendHeartbeats({.sender = "d3"});
    EXPECT_TRUE(eventually([&] {
        return client.failures > 0;
    }));
    EXPECT_EQ(server.heartbeatsReceived, 0);
}

// Guards against a hanging peer that delays heartbeats to the others. The third peer accepts connections but never responds.
TEST(peer_link_test, a_hanging_peer_does_not_block_the_others)
{
    peer_fixture first("d1", "secret");
    peer_fixture second("d2", "secret");
    rpc_loop hanging;
    kj::Own<kj::ConnectionReceiver> silentListener;
    int silentPort = 0;
    hanging.run([&](rpc_io &io) {
        const sockaddr_in loopback{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        silentListener = io.network.getSockaddr(&loopback, sizeof(loopback))->listen();
        silentPort = static_cast<int>(silentListener->getPort());
    });
    const peer_address hangingPeer{.id = "d3", .address = "127.0.0.1:" + std::to_string(silentPort)};
    first.link.setPeers({second.address(), hangingPeer});
    second.link.setPeers({first.address(), hangingPeer});
    const auto startedAt = std::chrono::steady_clock::now();
    for (int round = 1; round <= 5; ++round) {
        first.link.sendHeartbeats({.sender = "d1", .reports = {{.endpoint = "e1"}}});
        second.link.sendHeartbeats({.sender = "d2"});
        ASSERT_TRUE(eventually([&] {
            return first.replies >= round && second.replies >= round;
        })) << "round "
            << round;
    }
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, std::chrono::seconds(1)) << "below the timeout of the hanging peer's call";
    EXPECT_EQ(first.lastVersion, 7U);
    EXPECT_EQ(second.lastReportCount, 1);
    EXPECT_TRUE(eventually([&] {
        return first.failures > 0;
    })) << "the hanging peer must time out";
    hanging.run([&](rpc_io &) {
        silentListener = nullptr;
    });
}

// Guards against patches or usage copies that are lost in transit, and against a call to an unconnected peer that blocks.
TEST(peer_link_test, carries_patches_and_usage)
{
    peer_fixture first("d1", "secret");
    peer_fixture second("d2", "secret");
    first.link.setPeers({second.address()});
    const std::vector<usage_record> records{{.requestId = "r1", .organisation = "a"}};
    EXPECT_FALSE(first.link.holdUsage("d2", records, std::chrono::milliseconds(100)).ok());
    first.link.sendHeartbeats({.sender = "d1"});
    ASSERT_TRUE(eventually([&] {
        return first.replies > 0;
    }));
    first.link.pushPatch({.version = 9, .mergePatch = "{}"});
    EXPECT_TRUE(first.link.holdUsage("d2", records, std::chrono::seconds(1)).ok());
    EXPECT_EQ(second.heldRecords, 1);
    first.link.releaseUsage("d2", {"r1"});
    std::atomic<std::uint64_t> fetched = 0;
    first.link.fetchPatches("d2", 4, 10, [&](const std::vector<config_patch> &patches) {
        fetched = patches.at(0).version;
    });
    EXPECT_TRUE(eventually([&] {
        return fetched == 5 && second.heldRecords == 0 && second.lastPatch == 9;
    }));
}

}

}
