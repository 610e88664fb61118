#include "serving/suspect_requests.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <set>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{1h};

}

// Guards against one crash that counts several times: seen by several daemons, or with several equal requests running.
TEST(suspect_requests, counts_each_crashed_process_once)
{
    suspect_requests suspects;
    for (int i = 0; i < 5; ++i) {
        suspects.recordCrash("r", 1, start + i * 10ms);
    }
    suspects.merge({"r", {1}, 20}, start + 1s);
    EXPECT_EQ(suspects.crashes("r", start + 1s), 1);
    EXPECT_FALSE(suspects.isSuspect("r", start + 1s));
}

// Guards against a request that crashes one endpoint through each of several daemons and is never refused.
TEST(suspect_requests, adds_up_the_crashes_that_several_daemons_saw)
{
    suspect_requests suspects;
    suspects.recordCrash("r", 1, start);
    suspects.merge({"r", {2}, 0}, start + 10ms);
    suspects.merge({"r", {3}, 0}, start + 20ms);
    EXPECT_TRUE(suspects.isSuspect("r", start + 20ms));
    EXPECT_FALSE(suspects.isSuspect("r", start + 11min));
}

// Guards against counting crashes reported by a peer that happened before the request succeeded on any daemon.
TEST(suspect_requests, ignores_crashes_before_a_success)
{
    suspect_requests suspects;
    suspects.recordCrash("r", 1, start);
    suspects.merge({"r", {1, 2, 3}, 0}, start + 1s);
    EXPECT_TRUE(suspects.isSuspect("r", start + 1s));
    suspects.recordSuccess("r", start + 2s);
    suspects.merge({"r", {1, 2, 3}, 2000}, start + 3s);
    EXPECT_EQ(suspects.crashes("r", start + 3s), 0);
    suspects.merge({"r", {4}, 0}, start + 4s);
    EXPECT_EQ(suspects.crashes("r", start + 4s), 1);
    suspects.merge({"r", {}, 0}, start + 5s);
    EXPECT_EQ(suspects.crashes("r", start + 5s), 0);
}

// Guards against a suspect request that is let through in numbers when its trial is due.
TEST(suspect_requests, lets_one_request_through_for_a_trial)
{
    suspect_requests suspects;
    for (std::uint64_t process = 1; process <= 3; ++process) {
        suspects.recordCrash("r", process, start);
    }
    EXPECT_FALSE(suspects.startTrial("r", start + 19s));
    EXPECT_TRUE(suspects.startTrial("r", start + 21s));
    EXPECT_FALSE(suspects.startTrial("r", start + 22s));
    EXPECT_TRUE(suspects.startTrial("r", start + 42s));
}

// Guards against a success that is never reported because crashes of other requests fill the message; the request would then be refused elsewhere.
TEST(suspect_requests, reports_changes_first_and_the_others_in_turn)
{
    suspect_requests suspects;
    for (int i = 0; i < 100; ++i) {
        suspects.recordCrash(absl::StrCat("a", i), static_cast<std::uint64_t>(i), start);
    }
    suspects.recordCrash("z", 1000, start);
    suspects.recordSuccess("z", start + 10s);
    const auto first = suspects.reports(8, start + 10s);
    ASSERT_EQ(first.size(), 8U);
    EXPECT_EQ(first[0].fingerprint, "z");
    EXPECT_TRUE(first[0].crashed.empty());
    std::set<std::string> reported;
    for (int i = 0; i < 15; ++i) {
        for (const auto &report : suspects.reports(8, start + 10s)) {
            reported.insert(report.fingerprint);
        }
    }
    EXPECT_EQ(reported.size(), 101U);
}

// Guards against daemons that report a success to each other for ever, each time as a newer one, and so leave no room for other reports.
TEST(suspect_requests, a_success_is_reported_for_a_short_time)
{
    suspect_requests first;
    suspect_requests second;
    first.recordCrash("r", 1, start);
    second.merge({"r", {1}, 0}, start + 5ms);
    first.recordSuccess("r", start + 1s);
    for (int i = 0; i < 200; ++i) {
        const instant now = start + 1s + i * 65ms;
        for (const auto &report : first.reports(8, now)) {
            second.merge(report, now + 5ms);
        }
        for (const auto &report : second.reports(8, now + 30ms)) {
            first.merge(report, now + 35ms);
        }
    }
    EXPECT_EQ(second.crashes("r", start + 14s), 0);
    EXPECT_TRUE(first.reports(8, start + 14s).empty());
    EXPECT_TRUE(second.reports(8, start + 14s).empty());
}

// Guards against a request that is refused because of crashes long ago.
TEST(suspect_requests, forgets_crashes_after_the_refusal_time)
{
    suspect_requests suspects;
    suspects.recordCrash("r", 1, start);
    suspects.recordCrash("r", 2, start);
    suspects.recordCrash("r", 3, start + 11min);
    EXPECT_EQ(suspects.crashes("r", start + 11min), 1);
}

// Guards against memory that grows with the number of different requests.
TEST(suspect_requests, keeps_a_bounded_number)
{
    suspect_requests suspects;
    for (int i = 0; i < 5000; ++i) {
        suspects.recordCrash(absl::StrCat("r", i), static_cast<std::uint64_t>(i), start + i * 1ms);
    }
    EXPECT_EQ(suspects.reports(10'000, start + 5s).size(), 1024U);
    EXPECT_EQ(suspects.crashes("r4999", start + 5s), 1);
    EXPECT_EQ(suspects.crashes("r0", start + 5s), 0);
}

}
