#include "coordination/config_follower.h"
#include "coordination/config_rows.h"
#include "state/table_store.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

json organisationPatch(int number)
{
    return {{"organisations", {{"org" + std::to_string(number), {{"weight", number}}}}}};
}

/// A follower on virtual time, with a table that can be made unreachable.
struct daemon_fixture
{
    config_holder holder;
    config_follower follower{holder};
    instant now{1h};

    /// Performs all effects and answers each after `delay`. Without a table every read fails.
    void run(const memory_table *table, duration delay = 1ms)
    {
        std::vector<control_effect> effects;
        follower.handle(tick_event{}, now, effects);
        while (!effects.empty()) {
            now += delay;
            std::vector<control_effect> next;
            for (const auto &effect : effects) {
                const auto &read = std::get<read_row_effect>(effect);
                row_read_event answer{.op = read.op, .result = absl::UnavailableError("cut off")};
                if (table != nullptr) {
                    answer.result = table->read(read.key);
                }
                follower.handle(answer, now, next);
            }
            effects = std::move(next);
        }
    }

    std::uint64_t held() const
    {
        return holder.current()->parsed.version;
    }
};

void store(memory_table &table, std::uint64_t version)
{
    table.commit({.writes = {{.key = configHeadKey, .value = formatConfigHead(version, "n")},
                             {.key = configPatchKey(version), .value = formatConfigPatch({.patch = organisationPatch(int(version)), .nonce = "n"})}}});
}

}

// Guards against patches that are skipped or applied out of order when a daemon starts many versions behind.
TEST(config_follower, catches_up_from_the_table)
{
    memory_table table;
    for (std::uint64_t version = 1; version <= 100; ++version) {
        store(table, version);
    }
    daemon_fixture daemon;
    daemon.run(&table);
    EXPECT_EQ(daemon.held(), 100U);
    EXPECT_EQ(daemon.holder.current()->document["organisations"].size(), 100U);
    EXPECT_TRUE(daemon.follower.fresh(daemon.now));
}

// Guards against a daemon that keeps admitting requests although it reaches neither the table nor a majority.
TEST(config_follower, isolated_daemon_is_not_fresh_after_the_window)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    daemon.follower.setRoster({"a", "b", "c", "d", "e"}, "a");
    daemon.run(&table);
    const instant lastRead = daemon.now - 1ms;
    while (daemon.now < lastRead + 2400ms) {
        daemon.run(nullptr);
        daemon.follower.recordPeerVersion("b", 1, daemon.now); // Two of five daemons are not a majority.
        EXPECT_TRUE(daemon.follower.fresh(daemon.now));
        daemon.now += 100ms;
    }
    EXPECT_FALSE(daemon.follower.fresh(lastRead + 2500ms));
}

// Guards against measuring the freshness window from the arrival of an answer: the answer proves only the state at some time after the request
// was sent.
TEST(config_follower, freshness_counts_from_the_request)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    const instant sent = daemon.now;
    daemon.run(&table, 1s);
    EXPECT_TRUE(daemon.follower.fresh(sent + 2499ms));
    EXPECT_FALSE(daemon.follower.fresh(sent + 2500ms));
    daemon.follower.setRoster({"a", "b", "c"}, "a");
    daemon.follower.recordPeerVersion("b", 1, sent + 1s);
    EXPECT_FALSE(daemon.follower.fresh(sent + 3500ms));
}

// Guards against missing a version that a majority holds: a daemon that reaches any majority must receive that version number and admit no
// requests until it has installed the version. Tries all combinations of holders and reachable members.
TEST(config_follower, every_majority_reports_a_version_held_by_a_majority)
{
    const std::vector<std::string> members = {"a", "b", "c", "d", "e"};
    memory_table table;
    store(table, 1);
    for (unsigned holders = 0; holders < 32; ++holders) {
        for (unsigned reachable = 0; reachable < 32; ++reachable) {
            if (__builtin_popcount(holders) < 3 || __builtin_popcount(reachable) < 3 || (reachable & 1U) == 0 || (holders & 1U) != 0) {
                continue;
            }
            daemon_fixture daemon;
            daemon.follower.setRoster(members, "a");
            daemon.run(&table);
            daemon.now += 10s;
            for (std::size_t peer = 1; peer < members.size(); ++peer) {
                if ((reachable >> peer & 1U) != 0) {
                    daemon.follower.recordPeerVersion(members[peer], (holders >> peer & 1U) != 0 ? 2 : 1, daemon.now);
                }
            }
            EXPECT_FALSE(daemon.follower.fresh(daemon.now));
            const config_update update{.version = 2, .body = organisationPatch(2)};
            daemon.follower.receivePatches({&update, 1});
            EXPECT_TRUE(daemon.follower.fresh(daemon.now));
        }
    }
}

// Guards against a restarted daemon that counts itself towards a majority: it may have lost the version that withdrew a key, and the other
// members of that majority may not have it either.
TEST(config_follower, restarted_daemon_does_not_count_itself)
{
    daemon_fixture daemon;
    daemon.follower.setRoster({"a", "b", "c"}, "a");
    const config_update whole{.version = 4, .body = organisationPatch(4), .whole = true};
    daemon.follower.receivePatches({&whole, 1});
    daemon.follower.recordPeerVersion("b", 4, daemon.now);
    daemon.run(nullptr);
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    EXPECT_EQ(daemon.follower.advertisedVersion(), 0U);
    daemon.follower.recordPeerVersion("c", 0, daemon.now); // Peer c has restarted too.
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    daemon.follower.recordPeerVersion("c", 4, daemon.now);
    daemon.run(nullptr);
    EXPECT_TRUE(daemon.follower.fresh(daemon.now));
    EXPECT_EQ(daemon.follower.advertisedVersion(), 4U);
}

// Guards against a majority counted without a roster or by a daemon that was removed from it.
TEST(config_follower, removed_daemon_reaches_no_majority)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    daemon.run(&table);
    daemon.follower.setRoster({"b", "c", "d"}, "a");
    daemon.now += 10s;
    for (const char *peer : {"b", "c", "d"}) {
        daemon.follower.recordPeerVersion(peer, 1, daemon.now);
    }
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    EXPECT_FALSE(daemon.follower.heldByMajority(1));
}

// Guards against reporting a version as held by a majority when fewer daemons hold it, or when a peer lost it in a restart.
TEST(config_follower, held_by_majority_counts_current_versions)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    daemon.follower.setRoster({"a", "b", "c", "d"}, "a");
    daemon.run(&table);
    daemon.follower.recordPeerVersion("b", 1, daemon.now);
    EXPECT_FALSE(daemon.follower.heldByMajority(1));
    daemon.follower.recordPeerVersion("c", 1, daemon.now);
    EXPECT_TRUE(daemon.follower.heldByMajority(1));
    EXPECT_FALSE(daemon.follower.heldByMajority(2));
    daemon.follower.recordPeerVersion("c", 0, daemon.now + 1s);
    EXPECT_FALSE(daemon.follower.heldByMajority(1));
}

// Guards against a configuration that reverts to an earlier version because an old update or an old head row arrives late.
TEST(config_follower, never_reverts)
{
    memory_table table;
    memory_table old;
    store(old, 1);
    store(table, 1);
    store(table, 2);
    daemon_fixture daemon;
    daemon.run(&table);
    const config_update late{.version = 1, .body = organisationPatch(9), .whole = true};
    daemon.follower.receivePatches({&late, 1});
    daemon.now += 3s;
    daemon.run(&old);
    EXPECT_EQ(daemon.held(), 2U);
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    EXPECT_FALSE(daemon.holder.current()->document["organisations"].contains("org9"));
}

// Guards against a gap in the updates sent to a peer, whether they are patches or the whole document.
TEST(config_follower, serves_updates_to_peers)
{
    memory_table table;
    for (std::uint64_t version = 1; version <= 90; ++version) {
        store(table, version);
    }
    daemon_fixture source;
    source.run(&table);
    for (const std::uint64_t start : {0U, 10U, 80U}) {
        memory_table partial;
        for (std::uint64_t version = 1; version <= start; ++version) {
            store(partial, version);
        }
        daemon_fixture peer;
        peer.run(&partial);
        auto updates = source.follower.updatesSince(start);
        std::ranges::reverse(updates);
        peer.follower.receivePatches(updates);
        EXPECT_EQ(peer.holder.current()->document, source.holder.current()->document);
    }
}

}
