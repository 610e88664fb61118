#include "coordination/poll_schedule.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{10s};

}

// Guards against polling an endpoint at every control tick.
TEST(poll_schedule_test, polls_once_an_interval)
{
    poll_schedule schedule;
    int pollCount = 0;
    for (auto now = start; now < start + 10s; now += 100ms) {
        pollCount += schedule.start("e1", true, now) ? 1 : 0;
    }
    EXPECT_EQ(pollCount, 10);
}

// Guards against a gap in the polling after the rendezvous order changes: the daemon that is now first may not have polled yet, so a reclaim notice
// would be detected late.
TEST(poll_schedule_test, continues_until_another_daemon_has_polled)
{
    poll_schedule schedule;
    EXPECT_TRUE(schedule.start("e1", true, start));
    EXPECT_TRUE(schedule.start("e1", false, start + 1s));
    schedule.noteOtherPoll("e1", start + 1500ms);
    EXPECT_FALSE(schedule.start("e1", false, start + 2s));
    EXPECT_FALSE(schedule.isPolling("e1"));
    EXPECT_FALSE(schedule.start("e1", false, start + 20s)); // Otherwise two daemons that are not first would take turns polling forever.
}

// Guards against an outdated report that ends the polling.
TEST(poll_schedule_test, an_old_poll_of_another_daemon_does_not_count)
{
    poll_schedule schedule;
    schedule.noteOtherPoll("e1", start - 2s);
    EXPECT_TRUE(schedule.start("e1", true, start));
    EXPECT_TRUE(schedule.start("e1", false, start + 1s));
}

}
