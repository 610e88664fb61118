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

/// A follower with a table that can be cut off, on virtual time.
struct daemon_fixture
{
    config_holder holder;
    config_follower follower{holder};
    instant now{1h};

    /// Performs all effects, answered after `delay`; without a table every read fails.
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

// Guards against patches that are skipped or applied out of order when a daemon starts far behind.
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

// Guards against a daemon that reaches neither the table nor a majority and goes on admitting requests.
TEST(config_follower, isolated_daemon_stops_within_the_window)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    daemon.follower.setRoster({"a", "b", "c", "d", "e"}, "a");
    daemon.run(&table);
    const instant lastRead = daemon.now - 1ms;
    while (daemon.now < lastRead + 2400ms) {
        daemon.run(nullptr);
        daemon.follower.notePeer("b", 1, daemon.now); // Two of five are no majority.
        EXPECT_TRUE(daemon.follower.fresh(daemon.now));
        daemon.now += 100ms;
    }
    EXPECT_FALSE(daemon.follower.fresh(lastRead + 2500ms));
}

// Guards against counting from the arrival of an answer: it proves the state at some time after the request was sent, not at its arrival.
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
    daemon.follower.notePeer("b", 1, sent + 1s);
    EXPECT_FALSE(daemon.follower.fresh(sent + 3500ms));
}

// Guards against a majority that hides a version in force: whoever hears a majority learns of it and admits nothing until it holds it.
TEST(config_follower, every_majority_tells_of_a_version_in_force)
{
    const std::vector<std::string> members = {"a", "b", "c", "d", "e"};
    memory_table table;
    store(table, 1);
    for (unsigned holders = 0; holders < 32; ++holders) {
        for (unsigned heard = 0; heard < 32; ++heard) {
            if (__builtin_popcount(holders) < 3 || __builtin_popcount(heard) < 3 || (heard & 1U) == 0 || (holders & 1U) != 0) {
                continue;
            }
            daemon_fixture daemon;
            daemon.follower.setRoster(members, "a");
            daemon.run(&table);
            daemon.now += 10s;
            for (std::size_t peer = 1; peer < members.size(); ++peer) {
                if ((heard >> peer & 1U) != 0) {
                    daemon.follower.notePeer(members[peer], (holders >> peer & 1U) != 0 ? 2 : 1, daemon.now);
                }
            }
            EXPECT_FALSE(daemon.follower.fresh(daemon.now));
            const config_step step{.version = 2, .body = organisationPatch(2)};
            daemon.follower.offerPatches({&step, 1});
            EXPECT_TRUE(daemon.follower.fresh(daemon.now));
        }
    }
}

// Guards against a restarted daemon, which has forgotten a withdrawn key, completing a majority that does not know of it either.
TEST(config_follower, restarted_daemon_does_not_count_itself)
{
    daemon_fixture daemon;
    daemon.follower.setRoster({"a", "b", "c"}, "a");
    const config_step whole{.version = 4, .body = organisationPatch(4), .whole = true};
    daemon.follower.offerPatches({&whole, 1});
    daemon.follower.notePeer("b", 4, daemon.now);
    daemon.run(nullptr);
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    EXPECT_EQ(daemon.follower.advertisedVersion(), 0U);
    daemon.follower.notePeer("c", 0, daemon.now); // Restarted as well.
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    daemon.follower.notePeer("c", 4, daemon.now);
    daemon.run(nullptr);
    EXPECT_TRUE(daemon.follower.fresh(daemon.now));
    EXPECT_EQ(daemon.follower.advertisedVersion(), 4U);
}

// Guards against a majority counted without a roster or by a daemon that was removed from it.
TEST(config_follower, removed_daemon_has_no_majority)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    daemon.run(&table);
    daemon.follower.setRoster({"b", "c", "d"}, "a");
    daemon.now += 10s;
    for (const char *peer : {"b", "c", "d"}) {
        daemon.follower.notePeer(peer, 1, daemon.now);
    }
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    EXPECT_FALSE(daemon.follower.inForce(1));
}

// Guards against "in force" with less than a majority, and against counting a peer that lost the version in a restart.
TEST(config_follower, in_force_needs_a_majority)
{
    memory_table table;
    store(table, 1);
    daemon_fixture daemon;
    daemon.follower.setRoster({"a", "b", "c", "d"}, "a");
    daemon.run(&table);
    daemon.follower.notePeer("b", 1, daemon.now);
    EXPECT_FALSE(daemon.follower.inForce(1));
    daemon.follower.notePeer("c", 1, daemon.now);
    EXPECT_TRUE(daemon.follower.inForce(1));
    EXPECT_FALSE(daemon.follower.inForce(2));
    daemon.follower.notePeer("c", 0, daemon.now + 1s);
    EXPECT_FALSE(daemon.follower.inForce(1));
}

// Guards against a configuration that reverts because an old step or an old head arrives late.
TEST(config_follower, never_reverts)
{
    memory_table table;
    memory_table old;
    store(old, 1);
    store(table, 1);
    store(table, 2);
    daemon_fixture daemon;
    daemon.run(&table);
    const config_step late{.version = 1, .body = organisationPatch(9), .whole = true};
    daemon.follower.offerPatches({&late, 1});
    daemon.now += 3s;
    daemon.run(&old);
    EXPECT_EQ(daemon.held(), 2U);
    EXPECT_FALSE(daemon.follower.fresh(daemon.now));
    EXPECT_FALSE(daemon.holder.current()->document["organisations"].contains("org9"));
}

// Guards against a peer that is brought up to date with a gap, by patches or by the whole document.
TEST(config_follower, serves_steps_to_peers)
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
        auto steps = source.follower.stepsSince(start);
        std::ranges::reverse(steps);
        peer.follower.offerPatches(steps);
        EXPECT_EQ(peer.holder.current()->document, source.holder.current()->document);
    }
}

}
