#include "serving/store_backoff.h"

#include <gtest/gtest.h>
#include <random>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// Calls of `daemons` daemons in `outage`, in which each one's first call fails at the start.
int callsInOutage(int daemons, store_recovery recovery, duration outage)
{
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> uniform(0, 1);
    int calls = 0;
    for (int i = 0; i < daemons; ++i) {
        store_backoff backoff;
        const instant start = instant{} + 1h;
        for (instant now = start; now < start + outage; now += backoff.noteFailure(recovery, uniform(random), now)) {
            ++calls;
        }
    }
    return calls;
}

}

TEST(store_backoff, an_outage_does_not_multiply_the_calls)
{
    // 75 daemons that retried each 150 ms made 4,000 calls for each table in 8 s.
    EXPECT_LE(callsInOutage(8, store_recovery::Probed, 8s), 8 * 25);
    EXPECT_LE(callsInOutage(67, store_recovery::Relayed, 8s), 67 * 9);
}

TEST(store_backoff, the_return_of_the_store_is_noticed_within_the_longest_pause)
{
    for (int failures = 1; failures < 100; ++failures) {
        EXPECT_LE(storeRetryPause(failures, store_recovery::Probed, 0), 600ms);
        EXPECT_LE(storeRetryPause(failures, store_recovery::Relayed, 0), 2400ms);
        EXPECT_GE(storeRetryPause(failures, store_recovery::Relayed, 0.999), 75ms);
    }
}

TEST(store_backoff, a_success_ends_the_pause)
{
    store_backoff backoff;
    const instant now = instant{} + 1h;
    EXPECT_TRUE(backoff.isDue(now));
    for (int i = 0; i < 5; ++i) {
        backoff.noteFailure(store_recovery::Relayed, 0, now);
    }
    EXPECT_FALSE(backoff.isDue(now + 2s));
    backoff.noteSuccess();
    EXPECT_TRUE(backoff.isDue(now));
    EXPECT_EQ(backoff.noteFailure(store_recovery::Relayed, 0, now), 150ms);
}

}
