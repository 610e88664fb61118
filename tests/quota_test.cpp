#include "serving/quota_ledger.h"
#include "standin/virtual_quota.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

const quota_limits requestsPerSecond{.ratePerSecond = 10, .burst = 10};
const quota_fleet alone;

/// A ledger that has run for long enough to know the past.
class quota_ledger_test : public testing::Test
{
protected:
    bool admit(std::string_view organisation, double cost = 1, const quota_fleet &fleet = alone)
    {
        return ledger.admit(organisation, requestsPerSecond, cost, fleet, sums, now).admitted;
    }

    int admitMany(std::string_view organisation, int count, const quota_fleet &fleet = alone)
    {
        int admitted = 0;
        for (int i = 0; i < count; ++i) {
            admitted += admit(organisation, 1, fleet) ? 1 : 0;
        }
        return admitted;
    }

    quota_ledger ledger{8s, 1, instant(1000s)};
    shared_sums sums;
    instant now{1100s};
};

quota_scenario makeScenario(std::size_t daemons, double demand)
{
    return {.daemons = daemons, .demand = demand};
}

}

// Guards against a bucket that refuses too early, too late or tells a wrong time to return.
TEST_F(quota_ledger_test, a_single_daemon_keeps_to_rate_and_burst)
{
    const int burst = admitMany("o", 100);
    EXPECT_GE(burst, 10);
    EXPECT_LE(burst, 18) << "a tenth of 90 and one request are allowed beyond the burst of 10";
    const auto refused = ledger.admit("o", requestsPerSecond, 1, alone, sums, now);
    ASSERT_FALSE(refused.admitted);
    now += fromMs(refused.retryAfterMs + 1);
    EXPECT_TRUE(admit("o"));
    EXPECT_FALSE(admit("o"));
    now += 1s;
    EXPECT_NEAR(admitMany("o", 100), 10, 1);
}

// Guards against all refused callers being told the same time, at which one of them is served.
TEST_F(quota_ledger_test, refused_requests_are_told_to_return_one_after_another)
{
    admitMany("o", 100);
    double last = 0;
    for (int i = 0; i < 20; ++i) {
        const auto refused = ledger.admit("o", requestsPerSecond, 1, alone, sums, now);
        ledger.noteRefusal("o", 1, refused.retryAfterMs, now);
        EXPECT_NEAR(refused.retryAfterMs - last, 100, 101) << "of request " << i;
        EXPECT_GT(refused.retryAfterMs, last);
        last = refused.retryAfterMs;
    }
}

// Guards against an organisation that pays for requests that no endpoint ran.
TEST_F(quota_ledger_test, returned_cost_can_be_used_again)
{
    admitMany("o", 100);
    ledger.giveBack("o", 3, now);
    EXPECT_EQ(admitMany("o", 100), 3);
}

// Guards against a lowered limit that holds only after the larger bucket is used up.
TEST_F(quota_ledger_test, a_lowered_limit_empties_the_bucket_at_once)
{
    EXPECT_TRUE(admit("o"));
    const quota_limits lowered{.ratePerSecond = 1, .burst = 1};
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += ledger.admit("o", lowered, 1, alone, sums, now).admitted ? 1 : 0;
    }
    EXPECT_LE(admitted, 2);
}

// Guards against a daemon without news of the others that uses more than its equal share.
TEST_F(quota_ledger_test, a_daemon_that_is_cut_off_keeps_to_its_equal_share)
{
    const quota_fleet cut{.daemons = 5, .heard = 1};
    int admitted = 0;
    for (int i = 0; i < 800; ++i) {
        now += 10ms;
        admitted += admit("o", 1, cut) ? 1 : 0;
    }
    EXPECT_LE(admitted, 8 * 2 + 2 + 1);
    EXPECT_GE(admitted, 8);
}

// Guards against daemons that each use the whole quota because an exchange without sums tells none of the others.
TEST_F(quota_ledger_test, a_daemon_whose_use_is_not_published_keeps_to_its_equal_share)
{
    const quota_fleet fleet{.daemons = 5, .heard = 5};
    int admitted = 0;
    for (int i = 0; i < 2000; ++i) {
        now += 10ms;
        ledger.refresh(sums, fleet, now);
        admitted += i >= 1200 && admit("o", 1, fleet) ? 1 : 0;
    }
    EXPECT_LE(admitted, 8 * 2 + 2 + 25) << "what fills one bucket may be admitted before it shows that nothing is published";
    EXPECT_GE(admitted, 8);
}

// Guards against odd numbers of another daemon that stop all requests of an organisation for good, or lift its limit.
TEST_F(quota_ledger_test, odd_sums_of_others_do_no_lasting_harm)
{
    const quota_fleet fleet{.daemons = 2, .heard = 2};
    const auto key = sumKey(sum_purpose::QuotaUse, "o");
    for (const double odd : {std::numeric_limits<double>::quiet_NaN(), -1e300, std::numeric_limits<double>::infinity(), 1e300}) {
        EXPECT_LE(admitMany("o", 1000, fleet), 40);
        sums.setOthers({key, odd});
        for (int i = 0; i < 20; ++i) {
            now += 65ms;
            ledger.refresh(sums, fleet, now);
            sums.toPublish(64);
        }
        EXPECT_LE(admitMany("o", 1000, fleet), 40) << odd;
        sums.setOthers({key, 0});
        for (int i = 0; i < 200; ++i) {
            now += 65ms;
            ledger.refresh(sums, fleet, now);
            sums.toPublish(64);
        }
        EXPECT_GE(admitMany("o", 1000, fleet), 2) << odd;
    }
}

// Guards against memory and messages that grow with the number of organisations, and against log lines that do with refusals.
TEST_F(quota_ledger_test, state_sums_and_log_lines_are_bounded)
{
    const quota_fleet fleet{.daemons = 2, .heard = 2};
    for (int i = 0; i < 3000; ++i) {
        admit(std::to_string(i), 1, fleet);
    }
    EXPECT_LE(ledger.size(), 1024U);
    ledger.refresh(sums, fleet, now);
    EXPECT_LE(sums.toPublish(64).size(), 24U);
    EXPECT_TRUE(ledger.noteRefusal("2999", 1, 100, now));
    EXPECT_FALSE(ledger.noteRefusal("2999", 1, 100, now + 900ms));
    EXPECT_TRUE(ledger.noteRefusal("2999", 1, 100, now + 1100ms));
}

// Guards against a published flow that tells the others more or less than was admitted: the bound would be missed, or quota be wasted.
TEST_F(quota_ledger_test, the_published_flow_adds_up_to_what_was_admitted)
{
    const quota_fleet fleet{.daemons = 9, .heard = 9};
    double admitted = 0;
    double told = 0;
    for (int i = 0; i < 400; ++i) {
        now += 65ms;
        admitted += i < 300 && admit("o", 1, fleet) ? 1 : 0;
        told += sums.published(sumKey(sum_purpose::QuotaUse, "o")) * 0.065;
        ledger.refresh(sums, fleet, now);
        if (i % 4 == 0) {
            sums.toPublish(64);
        }
    }
    EXPECT_GT(admitted, 20);
    EXPECT_NEAR(told, admitted, 0.05 * admitted);
}

// Guards against the bound being missed when all daemons admit at once what only one of them may, for the faults and loads that the rule names.
TEST(quota_fleet_run, the_bound_holds_under_load_and_faults)
{
    for (const std::size_t daemons : {9U, 84U}) {
        const auto run = [&](const char *name, quota_scenario scenario) {
            scenario.daemons = daemons;
            const auto outcome = runQuota(scenario);
            EXPECT_LE(outcome.worst, 1) << name << " with " << daemons << " daemons";
            return outcome;
        };
        const quota_phase jump{30, 40};
        run("jump from 0.5", {.demand = 0.5, .jump = jump, .rampS = 1});
        run("jump at once from 1", {.demand = 1, .jump = jump});
        run("jump with lost sums", {.demand = 1, .jump = jump, .rampS = 1, .lostSums = 0.33});
        run("lowered limit", {.demand = 0.9, .limitsAtS = 30});
        run("raised limit", {.demand = 2, .limitsAtS = 30, .limitsFactor = 2});
        run("killed daemons", {.demand = 2, .killAtS = 30});
        run("partition", {.demand = 2, .partition = quota_phase{25, 45}});
        run("frozen daemons", {.demand = 2, .freeze = quota_phase{25, 29}});
        run("restart of all", {.demand = 2, .restartAtS = 30});
    }
}

// Guards against refusals below the quota, and against quota that can't be used, however the callers are spread over the daemons.
TEST(quota_fleet_run, the_quota_can_be_used)
{
    for (const std::size_t daemons : {1U, 2U, 9U, 84U}) {
        EXPECT_GE(runQuota(makeScenario(daemons, 0.5)).served, 0.999) << daemons;
        EXPECT_GE(runQuota(makeScenario(daemons, 0.9)).served, 0.98) << daemons;
        EXPECT_GE(runQuota(makeScenario(daemons, 2)).used, 0.95) << daemons;
        auto atTwo = makeScenario(daemons, 2);
        atTwo.callersAt = std::min<std::size_t>(daemons, 2);
        EXPECT_GE(runQuota(atTwo).used, 0.95) << daemons;
        atTwo.demand = 0.9;
        EXPECT_GE(runQuota(atTwo).served, 0.98) << daemons;
    }
}

}
