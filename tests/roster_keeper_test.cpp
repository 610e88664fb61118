#include "coordination/roster_keeper.h"
#include "store_executor.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

class roster_keeper_test : public testing::Test
{
protected:
    memory_table table;
    store_executor store{.table = table};
    roster_keeper keeper{"main", "d1"};

    static std::vector<instance_info> instances(const std::vector<std::string> &ids)
    {
        std::vector<instance_info> result;
        result.reserve(ids.size());
        for (const auto &id : ids) {
            result.push_back({.id = id, .failureDomain = "domain-" + id});
        }
        return result;
    }

    /// Runs the keeper as lease holder with heartbeats from the instances `live`. If `caughtUp`, they report the current roster version.
    void run(double from, double to, const std::vector<std::string> &live, bool caughtUp = true)
    {
        for (double now = from; now < to; now += 0.1) {
            for (const auto &id : live) {
                keeper.noteHeartbeat(id, at(now));
                if (caughtUp) {
                    keeper.noteRosterVersion(id, keeper.roster().version);
                }
            }
            keeper.setGrant(lease_grant{.epoch = 1, .validUntil = at(now + 1), .acquiredAt = at(1)});
            store.drive(keeper, tick_event{}, at(now));
        }
    }
};

// Guards against successive roster versions that differ by more than one member, whose majorities might not intersect.
TEST_F(roster_keeper_test, changes_one_member_per_version)
{
    keeper.setInstances(instances({"d1", "d2", "d3", "d4"}));
    run(1, 10, {"d2", "d3", "d4"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2", "d3", "d4"}));
    EXPECT_EQ(keeper.roster().domains.at("d3"), "domain-d3");
    keeper.setInstances(instances({"d1", "d2"}));
    run(10, 20, {"d2", "d3", "d4"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
    ASSERT_EQ(store.committed.size(), 6U);
    std::vector<std::string> before;
    for (const auto &change : store.committed) {
        const auto members = nlohmann::json::parse(*change.writes.front().value)["members"].get<std::vector<std::string>>();
        std::vector<std::string> difference;
        std::ranges::set_symmetric_difference(before, members, std::back_inserter(difference));
        EXPECT_EQ(difference.size(), 1U);
        before = members;
    }
}

// Guards against trusting the platform's lagging list: an instance that is still listed but sends no heartbeats must neither join nor stay.
TEST_F(roster_keeper_test, removes_a_listed_member_that_sends_no_heartbeats)
{
    keeper.setInstances(instances({"d1", "d2", "d3", "d4"}));
    run(1, 8, {"d2", "d3"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2", "d3"}));
    run(8, 17.5, {"d2"});
    EXPECT_TRUE(keeper.roster().contains("d3"));
    run(17.5, 20, {"d2"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
}

// Guards against a minority that shrinks the roster to itself, and against a roster that cannot change after the other members ended.
TEST_F(roster_keeper_test, a_holder_without_a_majority_removes_only_members_that_have_ended)
{
    keeper.setInstances(instances({"d1", "d2", "d3"}));
    run(1, 10, {"d2", "d3"});
    ASSERT_EQ(keeper.roster().members.size(), 3U);
    run(10, 100, {});
    EXPECT_EQ(keeper.roster().members.size(), 3U);
    keeper.setInstances(instances({"d1"}));
    run(100, 102, {});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1"}));
}

// Guards against emptying the roster because the list is empty or was made before this daemon started.
TEST_F(roster_keeper_test, a_list_without_this_daemon_removes_nobody)
{
    keeper.setInstances(instances({"d1", "d2"}));
    run(1, 5, {"d2"});
    keeper.setInstances({});
    run(5, 20, {"d2"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
}

// Guards against a second roster change while a majority still holds the version before the first one, however long that lasts.
TEST_F(roster_keeper_test, waits_for_a_majority_to_hold_the_current_version)
{
    keeper.setInstances(instances({"d1", "d2", "d3"}));
    run(1, 60, {"d2", "d3"}, false);
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
    keeper.noteRosterVersion("d2", keeper.roster().version);
    run(60, 62, {"d2", "d3"}, false);
    EXPECT_EQ(keeper.roster().members.size(), 3U);
}

// Guards against a roster written by a daemon whose lease has expired.
TEST_F(roster_keeper_test, writes_nothing_after_its_lease_expired)
{
    keeper.setInstances(instances({"d1"}));
    keeper.setGrant(lease_grant{.epoch = 1, .validUntil = at(1), .acquiredAt = at(0)});
    store.drive(keeper, tick_event{}, at(1));
    EXPECT_FALSE(*table.read("roster/main"));
}

/// Nine daemons that exchange heartbeats every second. A partition separates the first `split` daemons from the others, and one of the two
/// sides from the store. The lease holder is the first daemon of the side that reaches the store.
struct partitioned_cell
{
    memory_table table;
    std::vector<std::string> ids;
    std::vector<roster_keeper> daemons;
    std::size_t split = 9;
    bool firstSideHasStore = true;
    double now = 1;

    partitioned_cell()
    {
        std::vector<instance_info> listed;
        for (int i = 1; i <= 9; ++i) {
            ids.push_back("d" + std::to_string(i));
            listed.push_back({.id = ids.back(), .failureDomain = "domain"});
            daemons.emplace_back("main", ids.back());
        }
        for (auto &daemon : daemons) {
            daemon.setInstances(listed);
        }
    }

    bool connected(std::size_t left, std::size_t right) const
    {
        return (left < split) == (right < split);
    }

    /// Returns whether a daemon could admit requests because it receives heartbeats from a majority of the roster that it holds.
    bool reachesMajority(std::size_t index) const
    {
        const auto &roster = daemons[index].roster();
        std::size_t reachable = 0;
        for (std::size_t other = 0; other < ids.size(); ++other) {
            reachable += roster.contains(ids[other]) && connected(index, other) ? 1 : 0;
        }
        return roster.contains(ids[index]) && reachable > roster.members.size() / 2;
    }

    /// Returns how many daemons of each side reach a majority.
    std::pair<int, int> admitting() const
    {
        std::pair<int, int> sides;
        for (std::size_t i = 0; i < ids.size(); ++i) {
            (i < split ? sides.first : sides.second) += reachesMajority(i) ? 1 : 0;
        }
        return sides;
    }

    void exchangeHeartbeats()
    {
        for (std::size_t from = 0; from < ids.size(); ++from) {
            for (std::size_t to = 0; to < ids.size(); ++to) {
                if (from != to && connected(from, to)) {
                    daemons[to].noteHeartbeat(ids[from], at(now));
                    daemons[to].noteRosterVersion(ids[from], daemons[from].roster().version);
                }
            }
        }
    }

    void runFor(double seconds)
    {
        const double end = now + seconds;
        for (int step = 0; now < end; ++step, now += 0.1) {
            const std::size_t holder = firstSideHasStore ? 0 : split;
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                const bool reachesStore = split == ids.size() || (i < split) == firstSideHasStore;
                store_executor store{.table = table, .down = !reachesStore};
                daemons[i].setGrant(i == holder ? std::optional(lease_grant{.epoch = 1, .validUntil = at(now + 1), .acquiredAt = at(1)}) : std::nullopt);
                store.drive(daemons[i], tick_event{}, at(now));
            }
            if (step % 10 == 0) {
                exchangeHeartbeats();
            }
            const auto [first, second] = admitting();
            ASSERT_TRUE(split == ids.size() || first == 0 || second == 0) << "both sides admit by majority at " << now << " s";
        }
    }
};

// Guards against a partition whose sides both admit by majority, when the smaller side reaches the store and holds the lease.
TEST(roster_partition_test, four_of_nine_with_the_store_do_not_shrink_the_roster)
{
    partitioned_cell cell;
    cell.runFor(30);
    ASSERT_EQ(cell.daemons.back().roster().members.size(), 9U);
    cell.split = 5;
    cell.firstSideHasStore = false;
    cell.runFor(300);
    EXPECT_EQ(cell.daemons.back().roster().members.size(), 9U);
    EXPECT_EQ(cell.admitting(), std::pair(5, 0));
}

// Guards against a majority that cannot remove the members behind a partition.
TEST(roster_partition_test, five_of_nine_with_the_store_remove_the_others)
{
    partitioned_cell cell;
    cell.runFor(30);
    cell.split = 5;
    cell.runFor(60);
    EXPECT_EQ(cell.daemons.front().roster().members.size(), 5U);
    EXPECT_EQ(cell.daemons.back().roster().members.size(), 9U);
    EXPECT_EQ(cell.admitting(), std::pair(5, 0));
    cell.split = 9;
    cell.runFor(30);
    EXPECT_EQ(cell.daemons.back().roster().members.size(), 9U);
}

}

}
