#include "soak/endpoint_demands.h"

#include <gtest/gtest.h>

namespace faultsoak
{

namespace
{

class endpoint_demands_test : public testing::Test
{
protected:
    void arrive(std::int64_t timeMs, const std::string &daemon = "d", std::int64_t sentMs = -1)
    {
        const std::string id = "r" + std::to_string(++requests);
        checker.recordSent(id, daemon, sentMs < 0 ? timeMs : sentMs);
        checker.recordArrival("e", id, timeMs);
    }

    /// The daemon sends one request and hears the limit in its answer.
    void nameLimit(double perSecond, std::int64_t timeMs, const std::string &daemon = "d")
    {
        checker.recordLimit("e", perSecond, timeMs);
        checker.recordSent("told", daemon, timeMs);
        checker.recordToldLimit("e", "told", timeMs);
    }

    std::size_t violations() const
    {
        return checker.violations().size();
    }

    endpoint_demands checker;
    int requests = 0;
};

}

TEST_F(endpoint_demands_test, reports_requests_beyond_a_limit)
{
    nameLimit(1, 0);
    for (int i = 0; i < 11; ++i) {
        arrive(4000 + i);
    }
    EXPECT_EQ(violations(), 0U);
    arrive(4100);
    EXPECT_EQ(violations(), 1U);
}

// Guards against a grace period after each change of a limit.
TEST_F(endpoint_demands_test, sums_up_a_limit_that_changes)
{
    nameLimit(1, 0);
    checker.recordLimit("e", 3, 6000);
    // 3 s at 1 a second and 1 s at 3, and half as much again, and 5.
    for (int i = 0; i < 14; ++i) {
        arrive(7000);
    }
    EXPECT_EQ(violations(), 0U);
    arrive(7000);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(endpoint_demands_test, does_not_count_what_the_limit_does_not_bind)
{
    nameLimit(1, 0);
    for (int i = 0; i < 50; ++i) {
        arrive(2000 + i); // Too early.
        arrive(4000 + i, "untold");
    }
    checker.recordRestart("d", 4100);
    for (int i = 0; i < 50; ++i) {
        arrive(4200 + i);
    }
    checker.recordLimit("e", std::nullopt, 5000);
    for (int i = 0; i < 50; ++i) {
        arrive(9000 + i);
    }
    EXPECT_EQ(violations(), 0U);
}

TEST_F(endpoint_demands_test, reports_requests_to_an_endpoint_that_said_it_leaves)
{
    checker.recordSent("told", "d", 0);
    checker.recordToldLeaving("e", "told", 100);
    arrive(2100);
    arrive(2500, "d", 2000);
    arrive(2500, "untold");
    EXPECT_EQ(violations(), 0U);
    arrive(2101);
    EXPECT_EQ(violations(), 1U);
    checker.recordRestart("d", 2200);
    arrive(2300);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(endpoint_demands_test, reports_requests_during_a_pause)
{
    checker.recordSent("told", "d", 0);
    checker.recordToldPause("e", "told", 0, 2000);
    arrive(400);
    arrive(600);
    arrive(700);
    arrive(2000);
    EXPECT_EQ(violations(), 0U);
    // Each refusal extends the pause and does not begin it anew.
    checker.recordToldPause("e", "told", 1900, 2000);
    arrive(1950);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(endpoint_demands_test, does_not_count_requests_that_a_harmed_link_may_have_delayed)
{
    checker.recordSent("told", "d", 0);
    checker.recordToldLeaving("e", "told", 0);
    checker.recordLinkFault("e", 5000);
    arrive(7000);
    EXPECT_EQ(violations(), 0U);
    arrive(8001);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(endpoint_demands_test, an_answer_on_a_harmed_link_binds_nobody)
{
    checker.recordLinkFault("e", 1000);
    checker.recordSent("told", "d", 0);
    checker.recordToldPause("e", "told", 1100, 9000);
    for (int i = 0; i < 5; ++i) {
        arrive(4500 + i);
    }
    EXPECT_EQ(violations(), 0U);
    checker.recordToldPause("e", "told", 5000, 9000);
    for (int i = 0; i < 5; ++i) {
        arrive(6000 + i);
    }
    EXPECT_EQ(violations(), 1U);
}

}
