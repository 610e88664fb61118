#include "control_bench.h"
#include "coordination/roster_keeper.h"

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
    store_actor store{.table = table};
    roster_keeper keeper{"main", "d1"};

    static std::vector<instance_info> instances(const std::vector<std::string> &ids)
    {
        std::vector<instance_info> result;
        for (const auto &id : ids) {
            result.push_back({.id = id, .failureDomain = "domain-" + id});
        }
        return result;
    }

    /// Runs the keeper as the holder with heartbeats from the given instances, which hold the current roster version.
    void run(double from, double to, const std::vector<std::string> &live, bool caughtUp = true)
    {
        for (double now = from; now < to; now += 0.1) {
            for (const auto &id : live) {
                keeper.noteHeard(id, at(now));
                if (caughtUp) {
                    keeper.noteVersion(id, keeper.roster().version);
                }
            }
            keeper.setGrant(lease_grant{.epoch = 1, .validUntil = at(now + 1), .acquiredAt = at(1)});
            store.drive(keeper, tick_event{}, at(now));
        }
    }
};

// Guards against a roster version that differs by more than one member from the one before, whose majorities might not intersect.
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

// Guards against trusting a lagging list: an instance that it still shows but that sends nothing neither joins nor stays.
TEST_F(roster_keeper_test, a_silent_member_leaves_although_the_list_shows_it)
{
    keeper.setInstances(instances({"d1", "d2", "d3"}));
    run(1, 6, {"d2"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
    run(6, 15.5, {});
    EXPECT_TRUE(keeper.roster().contains("d2"));
    run(15.5, 18, {});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1"}));
}

// Guards against emptying the roster because the list was empty or from before this daemon started.
TEST_F(roster_keeper_test, a_list_without_this_daemon_removes_nobody)
{
    keeper.setInstances(instances({"d1", "d2"}));
    run(1, 5, {"d2"});
    keeper.setInstances({});
    run(5, 20, {"d2"});
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
}

// Guards against a second step while a heard member still counts majorities by the roster before the first.
TEST_F(roster_keeper_test, waits_for_members_to_read_the_current_version)
{
    keeper.setInstances(instances({"d1", "d2", "d3"}));
    run(1, 4, {"d2", "d3"}, false);
    EXPECT_EQ(keeper.roster().members, (std::vector<std::string>{"d1", "d2"}));
    run(4, 8, {"d2", "d3"}, false);
    EXPECT_EQ(keeper.roster().members.size(), 3U);
}

// Guards against a roster written by a daemon whose lease has lapsed.
TEST_F(roster_keeper_test, writes_nothing_after_its_lease_lapsed)
{
    keeper.setInstances(instances({"d1"}));
    keeper.setGrant(lease_grant{.epoch = 1, .validUntil = at(1), .acquiredAt = at(0)});
    store.drive(keeper, tick_event{}, at(1));
    EXPECT_FALSE(*table.read("roster/main"));
}

}

}
