#include "coordination/provision_keeper.h"

#include "control_harness.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

struct provision_keeper_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    provision_keeper keeper{"main"};
    const provision_order wanted{.group = "manual-reader", .failureDomain = "za-1", .count = 2};

    lease_grant grant(std::uint64_t epoch) const
    {
        return {.epoch = epoch, .validUntil = harness.now + 1h, .acquiredAt = harness.now};
    }
};

}

// Guards against endpoints that are ordered twice when the platform's answer is lost.
TEST_F(provision_keeper_test, repeats_an_order_with_the_same_token)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    harness.deliveryOutcome = [] {
        return delivery_outcome::Unknown;
    };
    ASSERT_TRUE(keeper.propose(wanted));
    harness.runFor(keeper, 12s);
    ASSERT_GE(harness.provisions.size(), 2U);
    EXPECT_EQ(harness.provisions.front().token, harness.provisions.back().token);
    harness.deliveryOutcome = [] {
        return delivery_outcome::Accepted;
    };
    harness.runFor(keeper, 4s);
    EXPECT_FALSE(keeper.hasOpenOrder());
    EXPECT_EQ(keeper.lastSettled()->granted, std::vector<std::string>{"granted-1"});
}

// Guards against orders from two daemons that both act as lease holder.
TEST_F(provision_keeper_test, successor_waits_and_completes_the_open_order)
{
    keeper.setGrant(grant(1));
    harness.run(keeper);
    harness.deliveryOutcome = [] {
        return delivery_outcome::Unknown;
    };
    keeper.propose(wanted);
    harness.runFor(keeper, 8s);
    const auto before = harness.provisions.size();
    ASSERT_GE(before, 1U);
    provision_keeper successor{"main"};
    successor.setGrant(grant(2));
    harness.runFor(successor, 6s);
    EXPECT_EQ(harness.provisions.size(), before);
    EXPECT_FALSE(successor.propose({.group = "other", .count = 1}));
    harness.runFor(successor, 4s);
    ASSERT_GT(harness.provisions.size(), before);
    EXPECT_EQ(harness.provisions.back().token, harness.provisions.front().token);
    EXPECT_EQ(harness.provisions.back().epoch, 2U);
}

// Guards against orders that are sent after the lease expired.
TEST_F(provision_keeper_test, sends_nothing_after_the_lease_expired)
{
    keeper.setGrant(lease_grant{.epoch = 1, .validUntil = harness.now + 2s, .acquiredAt = harness.now});
    harness.run(keeper);
    keeper.propose(wanted);
    harness.runFor(keeper, 20s);
    EXPECT_TRUE(harness.provisions.empty());
}

}
