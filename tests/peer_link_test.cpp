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

/// One daemon's RPC side on loopback, with counters in place of the machines.
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
                    ++heard;
                    lastReports = static_cast<int>(message.reports.size());
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
                    held += static_cast<int>(records.size());
                },
            .releaseUsage =
                [this](const std::string &, const std::vector<std::string> &ids) {
                    held -= static_cast<int>(ids.size());
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
    std::atomic<int> heard = 0;
    std::atomic<int> replies = 0;
    std::atomic<int> failures = 0;
    std::atomic<int> held = 0;
    std::atomic<int> lastReports = 0;
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

// Guards against a peer without the cluster secret that gets the Peer capability.
TEST(peer_link_test, a_wrong_secret_is_refused)
{
    peer_fixture server("d1", "right");
    peer_fixture client("d2", "wrong");
    client.link.setPeers({server.address()});
    client.link.sendHeartbeats({.sender = "d2"});
    EXPECT_TRUE(eventually([&] {
        return client.failures > 0;
    }));
    EXPECT_EQ(server.heard, 0);
    EXPECT_EQ(client.replies, 0);
}

// Guards against a proof that can be sent back by the other side or used again on another connection.
TEST(peer_link_test, a_proof_holds_for_one_side_and_one_connection)
{
    login_challenge challenge{.clientId = "d1", .serverId = "d2", .clientNonce = makeLoginNonce(), .serverNonce = makeLoginNonce()};
    const auto proof = loginProof("secret", login_side::Client, challenge);
    EXPECT_FALSE(sameProof(proof, loginProof("secret", login_side::Server, challenge)));
    EXPECT_TRUE(sameProof(proof, loginProof("secret", login_side::Client, challenge)));
    challenge.serverNonce = makeLoginNonce();
    EXPECT_FALSE(sameProof(proof, loginProof("secret", login_side::Client, challenge)));
    EXPECT_FALSE(sameProof({}, {}));
}

// Guards against a heartbeat in the name of another daemon.
TEST(peer_link_test, a_heartbeat_in_another_name_is_refused)
{
    peer_fixture server("d1", "secret");
    peer_fixture client("d2", "secret");
    client.link.setPeers({server.address()});
    client.link.sendHeartbeats({.sender = "d3"});
    EXPECT_TRUE(eventually([&] {
        return client.failures > 0;
    }));
    EXPECT_EQ(server.heard, 0);
}

// Guards against a hanging peer that delays the heartbeats to the others: the third peer accepts connections and never answers.
TEST(peer_link_test, a_hanging_peer_does_not_block_the_others)
{
    peer_fixture one("d1", "secret");
    peer_fixture two("d2", "secret");
    rpc_loop hanging;
    kj::Own<kj::ConnectionReceiver> silent;
    int silentPort = 0;
    hanging.run([&](rpc_io &io) {
        const sockaddr_in loopback{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        silent = io.network.getSockaddr(&loopback, sizeof(loopback))->listen();
        silentPort = static_cast<int>(silent->getPort());
    });
    const peer_address third{.id = "d3", .address = "127.0.0.1:" + std::to_string(silentPort)};
    one.link.setPeers({two.address(), third});
    two.link.setPeers({one.address(), third});
    const auto began = std::chrono::steady_clock::now();
    for (int round = 1; round <= 5; ++round) {
        one.link.sendHeartbeats({.sender = "d1", .reports = {{.endpoint = "e1"}}});
        two.link.sendHeartbeats({.sender = "d2"});
        ASSERT_TRUE(eventually([&] {
            return one.replies >= round && two.replies >= round;
        })) << "round "
            << round;
    }
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(1)) << "below the timeout of the hanging peer's call";
    EXPECT_EQ(one.lastVersion, 7U);
    EXPECT_EQ(two.lastReports, 1);
    EXPECT_TRUE(eventually([&] {
        return one.failures > 0;
    })) << "the hanging peer must time out";
    hanging.run([&](rpc_io &) {
        silent = nullptr;
    });
}

// Guards against losing patches or usage copies on the way, and against a peer that is not connected blocking the caller.
TEST(peer_link_test, carries_patches_and_usage)
{
    peer_fixture one("d1", "secret");
    peer_fixture two("d2", "secret");
    one.link.setPeers({two.address()});
    const std::vector<usage_record> records{{.requestId = "r1", .organisation = "a"}};
    EXPECT_FALSE(one.link.holdUsage("d2", records, std::chrono::milliseconds(100)).ok());
    one.link.sendHeartbeats({.sender = "d1"});
    ASSERT_TRUE(eventually([&] {
        return one.replies > 0;
    }));
    one.link.pushPatch({.version = 9, .mergePatch = "{}"});
    EXPECT_TRUE(one.link.holdUsage("d2", records, std::chrono::seconds(1)).ok());
    EXPECT_EQ(two.held, 1);
    one.link.releaseUsage("d2", {"r1"});
    std::atomic<std::uint64_t> fetched = 0;
    one.link.fetchPatches("d2", 4, 10, [&](const std::vector<config_patch> &patches) {
        fetched = patches.at(0).version;
    });
    EXPECT_TRUE(eventually([&] {
        return fetched == 5 && two.held == 0 && two.lastPatch == 9;
    }));
}

}

}
