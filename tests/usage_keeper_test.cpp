#include "coordination/usage_keeper.h"

#include "control_harness.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

usage_record recordOf(std::string organisation, std::uint64_t tokens)
{
    return {.requestId = "r", .organisation = std::move(organisation), .figures = {.requests = 1, .outputTokens = tokens}};
}

struct usage_keeper_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    usage_ledger ledger;
    usage_batcher batcher{"main", "d1", "i1", ledger};
    usage_keeper keeper{"main"};

    lease_grant grant(std::uint64_t epoch) const
    {
        return {.epoch = epoch, .validUntil = harness.now + 1h, .acquiredAt = harness.now};
    }

    void setWindow(std::uint64_t current)
    {
        batcher.setWindow({.current = current, .firstNotClosable = current});
        keeper.setWindow({.current = current, .firstNotClosable = current});
    }

    std::uint64_t reportedTokens(std::uint64_t window) const
    {
        for (const auto &report : harness.reports) {
            if (const auto found = report.figures.find("org"); report.window == window && found != report.figures.end()) {
                return found->second.outputTokens;
            }
        }
        return 0;
    }
};

}

// Guards against windows that are skipped, reported early or summed wrongly.
TEST_F(usage_keeper_test, reports_each_window_once)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(recordOf("org", 5));
    ledger.add(recordOf("org", 7));
    harness.runFor(batcher, 1s);
    harness.runFor(keeper, 2s);
    EXPECT_TRUE(harness.reports.empty());
    setWindow(102);
    harness.runFor(keeper, 5s);
    ASSERT_EQ(harness.reports.size(), 2U);
    EXPECT_EQ(reportedTokens(100), 12U);
}

// Guards against billing twice when the answer to a batch commit is lost after it took effect.
TEST_F(usage_keeper_test, bills_a_batch_once_when_its_answer_is_lost)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    harness.commitFaults = {commit_fault::LostAfterEffect};
    ledger.add(recordOf("org", 5));
    harness.runFor(batcher, 1s);
    setWindow(101);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 5U);
    EXPECT_TRUE(batcher.idle());
}

// Guards against billing twice when a lost batch answer is resolved only after the window was frozen and its batch rows deleted.
TEST_F(usage_keeper_test, finds_a_counted_batch_after_the_window_was_frozen)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    harness.commitFaults = {commit_fault::LostAfterEffect};
    ledger.add(recordOf("org", 5));
    harness.run(batcher);
    setWindow(101);
    harness.runFor(keeper, 5s);
    harness.runFor(batcher, 2s);
    setWindow(103);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 5U);
    EXPECT_EQ(reportedTokens(101) + reportedTokens(102), 0U);
}

// Guards against losing usage that arrives after its window was closed.
TEST_F(usage_keeper_test, moves_late_usage_to_an_open_window)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(recordOf("org", 1));
    harness.runFor(batcher, 1s);
    keeper.setWindow({.current = 101, .firstNotClosable = 101});
    harness.runFor(keeper, 5s);
    ledger.add(recordOf("org", 9));
    harness.now += 10s;
    harness.runFor(batcher, 1s); // The batcher's clock still shows window 100.
    setWindow(103);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 1U);
    EXPECT_EQ(reportedTokens(101), 9U);
}

// Guards against a successor that reports other figures, or at once while the former holder may still be sending.
TEST_F(usage_keeper_test, successor_waits_and_repeats_the_same_figures)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(recordOf("org", 5));
    harness.runFor(batcher, 1s);
    harness.answer = [] {
        return delivery::Unknown;
    };
    setWindow(101);
    harness.runFor(keeper, 3s);
    const auto first = harness.reports.size();
    ASSERT_GE(first, 1U);
    usage_keeper successor{"main"};
    successor.setWindow({.current = 101, .firstNotClosable = 101});
    successor.setGrant(grant(2));
    harness.runFor(successor, 6s);
    EXPECT_EQ(harness.reports.size(), first);
    harness.answer = [] {
        return delivery::Accepted;
    };
    harness.runFor(successor, 4s);
    ASSERT_EQ(harness.reports.size(), first + 1);
    EXPECT_EQ(harness.reports.front().figures, harness.reports.back().figures);
}

// Guards against reports from a holder whose lease has expired.
TEST_F(usage_keeper_test, sends_nothing_after_the_lease_expired)
{
    setWindow(100);
    keeper.setGrant(lease_grant{.epoch = 1, .validUntil = harness.now + 1s, .acquiredAt = harness.now});
    ledger.add(recordOf("org", 5));
    harness.runFor(batcher, 500ms);
    harness.now += 2s;
    setWindow(105);
    harness.runFor(keeper, 5s);
    EXPECT_TRUE(harness.reports.empty());
}

// Guards against a store outage that loses or repeats a report.
TEST_F(usage_keeper_test, goes_on_after_a_store_outage)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(recordOf("org", 5));
    harness.storeDown = true;
    harness.runFor(batcher, 20s);
    setWindow(101);
    harness.runFor(keeper, 20s);
    EXPECT_TRUE(harness.reports.empty());
    harness.storeDown = false;
    harness.runFor(batcher, 1s);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 5U);
    EXPECT_EQ(harness.reports.size(), 1U);
}

}
