#include "coordination/order_keeper.h"

#include "control_harness.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

struct order_keeper_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    order_keeper keeper{"main"};
    const endpoint_order toDecode{.endpoint = "e1", .kind = order_kind::SetRole, .role = endpoint_role::Decode};
    const endpoint_order toPrefill{.endpoint = "e1", .kind = order_kind::SetRole, .role = endpoint_role::Prefill};

    lease_grant grant(std::uint64_t epoch) const
    {
        return {.epoch = epoch, .validUntil = harness.now + 1h, .acquiredAt = harness.now};
    }

    void report(order_keeper &to, std::uint64_t revision, int streams, bool checksFencing = true)
    {
        to.noteReport({.endpoint = "e1", .orderRevision = revision, .runningStreams = streams}, harness.now, checksFencing);
        to.noteDrainConfirmed(harness.now);
    }

    /// Runs the keeper with an idle endpoint that applies each order at once.
    void runWithReports(order_keeper &target, duration length, bool checksFencing = true)
    {
        for (const instant end = harness.now + length; harness.now < end;) {
            report(target, harness.orders.empty() ? 0 : harness.orders.back().revision, 0, checksFencing);
            harness.runFor(target, 500ms);
        }
    }
};

}

// Guards against an order that is sent while the endpoint still runs requests, which would interrupt them.
TEST_F(order_keeper_test, drains_before_it_sends)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    report(keeper, 0, 3);
    ASSERT_TRUE(keeper.propose(toDecode));
    for (int i = 0; i < 20; ++i) {
        report(keeper, 0, 3);
        harness.runFor(keeper, 500ms);
    }
    EXPECT_TRUE(harness.orders.empty());
    EXPECT_EQ(keeper.draining(), std::vector<std::string>{"e1"});
    runWithReports(keeper, 5s);
    ASSERT_EQ(harness.orders.size(), 1U);
    EXPECT_FALSE(keeper.hasOpenOrder());
}

// Guards against an order to an endpoint that hangs. Its report shows no streams, but they continue once it answers again.
TEST_F(order_keeper_test, an_unreachable_endpoint_is_not_drained)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    ASSERT_TRUE(keeper.propose(toDecode));
    for (int i = 0; i < 40; ++i) {
        keeper.noteReport({.endpoint = "e1", .reachable = false}, harness.now, true);
        keeper.noteDrainConfirmed(harness.now);
        harness.runFor(keeper, 500ms);
    }
    EXPECT_TRUE(harness.orders.empty());
    runWithReports(keeper, 6s);
    EXPECT_EQ(harness.orders.size(), 1U);
}

// Guards against a drain notice that is replaced by an older one, of the same or of a former lease holder.
TEST_F(order_keeper_test, each_change_makes_a_newer_drain_notice)
{
    EXPECT_FALSE(keeper.notice());
    keeper.setGrant(grant(3));
    EXPECT_FALSE(keeper.notice()); // The stored intents have not been read yet.
    harness.run(keeper);
    const auto before = keeper.notice();
    ASSERT_TRUE(before);
    EXPECT_EQ(before->epoch, 3U);
    EXPECT_TRUE(before->endpoints.empty());
    report(keeper, 0, 0);
    ASSERT_TRUE(keeper.propose(toDecode));
    harness.runFor(keeper, 1s);
    const auto during = keeper.notice();
    ASSERT_TRUE(during);
    EXPECT_TRUE(isNewer(*during, *before));
    EXPECT_EQ(during->endpoints, std::vector<std::string>{"e1"});
    runWithReports(keeper, 6s);
    const auto after = keeper.notice();
    ASSERT_TRUE(after);
    EXPECT_TRUE(isNewer(*after, *during));
    EXPECT_TRUE(after->endpoints.empty());
    EXPECT_FALSE(isNewer(*before, *after));
}

// Guards against an order that interrupts requests of a daemon that did not receive the drain notice.
TEST_F(order_keeper_test, waits_until_every_daemon_has_confirmed_the_draining)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    report(keeper, 0, 0);
    ASSERT_TRUE(keeper.propose(toDecode));
    const instant lastAnswer = harness.now;
    for (int i = 0; i < 40; ++i) {
        report(keeper, 0, 0);
        keeper.noteDrainConfirmed(i < 20 ? std::optional<instant>() : lastAnswer);
        harness.runFor(keeper, 500ms);
    }
    EXPECT_TRUE(harness.orders.empty());
    runWithReports(keeper, 6s);
    EXPECT_EQ(harness.orders.size(), 1U);
}

// Guards against two different orders in flight to one endpoint.
TEST_F(order_keeper_test, refuses_a_second_order_while_one_is_open)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    ASSERT_TRUE(keeper.propose(toDecode));
    harness.run(keeper);
    EXPECT_FALSE(keeper.propose(toPrefill));
}

// Guards against a new lease holder that sends a different order while the former holder's order is still open.
TEST_F(order_keeper_test, successor_completes_the_open_order_first)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    report(keeper, 0, 0);
    ASSERT_TRUE(keeper.propose(toDecode));
    harness.runFor(keeper, 500ms);
    order_keeper successor{"main"};
    successor.setGrant(grant(2));
    harness.run(successor);
    EXPECT_FALSE(successor.propose(toPrefill));
    runWithReports(successor, 8s);
    ASSERT_EQ(harness.orders.size(), 1U);
    EXPECT_EQ(harness.orders[0].role, endpoint_role::Decode);
    EXPECT_EQ(harness.orders[0].epoch, 2U);
}

// Guards against a conflicting order to an endpoint that ignores fencing tokens, while an order of the former holder may still arrive.
TEST_F(order_keeper_test, waits_before_a_different_order_to_an_endpoint_without_fencing)
{
    keeper.setGrant(grant(2));
    harness.run(keeper);
    report(keeper, 0, 0, false);
    ASSERT_TRUE(keeper.propose(toDecode));
    runWithReports(keeper, 6s, false);
    EXPECT_TRUE(harness.orders.empty());
    runWithReports(keeper, 6s, false);
    EXPECT_EQ(harness.orders.size(), 1U);
}

// Guards against a second intent when the answer to the first commit is lost, before or after it took effect.
TEST_F(order_keeper_test, a_lost_commit_answer_gives_one_order)
{
    for (const auto fault : {commit_fault::LostAfterEffect, commit_fault::LostBeforeEffect}) {
        harness.orders.clear();
        order_keeper fresh{"main"};
        fresh.setGrant(grant(1));
        harness.run(fresh);
        harness.commitFaults = {fault};
        fresh.propose(toDecode);
        runWithReports(fresh, 8s);
        EXPECT_LE(harness.orders.size(), 1U);
        EXPECT_FALSE(fresh.hasOpenOrder());
    }
}

// Guards against orders from a holder whose lease expired while the endpoint was draining.
TEST_F(order_keeper_test, sends_nothing_after_the_lease_expired)
{
    keeper.setGrant(lease_grant{.epoch = 1, .validUntil = harness.now + 1s, .acquiredAt = harness.now});
    harness.run(keeper);
    keeper.propose(toDecode);
    runWithReports(keeper, 10s);
    EXPECT_TRUE(harness.orders.empty());
}

// Guards against an order that is lost because the engine crashed while it applied the order.
TEST_F(order_keeper_test, sends_again_until_the_endpoint_reports_the_revision)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    keeper.propose(toDecode);
    for (int i = 0; i < 20; ++i) {
        report(keeper, 0, 0);
        harness.runFor(keeper, 500ms);
    }
    EXPECT_GE(harness.orders.size(), 2U);
    EXPECT_EQ(harness.orders.front(), harness.orders.back());
    runWithReports(keeper, 4s);
    EXPECT_FALSE(keeper.hasOpenOrder());
}

// Guards against an intent that stays open forever because its endpoint was removed, and against orders to such an endpoint.
TEST_F(order_keeper_test, settles_the_intent_of_an_endpoint_that_left_the_fleet)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    report(keeper, 0, 3);
    ASSERT_TRUE(keeper.propose(toDecode));
    harness.runFor(keeper, 1s);
    ASSERT_TRUE(keeper.hasOpenOrder());
    keeper.setFleet({"e2"});
    harness.runFor(keeper, 10s);
    EXPECT_FALSE(keeper.hasOpenOrder());
    EXPECT_TRUE(keeper.draining().empty());
    EXPECT_TRUE(harness.orders.empty());
}

}
