#include "coordination/poll_schedule.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{10s};

}

// Guards against an endpoint that is polled at each control tick.
TEST(poll_schedule_test, polls_once_an_interval)
{
    poll_schedule schedule;
    int polls = 0;
    for (auto now = start; now < start + 10s; now += 100ms) {
        polls += schedule.start("e1", true, now) ? 1 : 0;
    }
    EXPECT_EQ(polls, 10);
}

// Guards against a gap when the rendezvous order changes: the new first daemon may not have polled yet, and a notice would be seen late.
TEST(poll_schedule_test, goes_on_until_another_has_polled)
{
    poll_schedule schedule;
    EXPECT_TRUE(schedule.start("e1", true, start));
    EXPECT_TRUE(schedule.start("e1", false, start + 1s));
    schedule.noteOther("e1", start + 1500ms);
    EXPECT_FALSE(schedule.start("e1", false, start + 2s));
    EXPECT_FALSE(schedule.polls("e1"));
    EXPECT_FALSE(schedule.start("e1", false, start + 20s)); // Two that are not first would otherwise poll in turns for ever.
}

// Guards against a report of long ago that ends the polling.
TEST(poll_schedule_test, an_old_poll_of_another_does_not_count)
{
    poll_schedule schedule;
    schedule.noteOther("e1", start - 2s);
    EXPECT_TRUE(schedule.start("e1", true, start));
    EXPECT_TRUE(schedule.start("e1", false, start + 1s));
}

}
