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

std::vector<std::string> parts(std::initializer_list<std::uint64_t> ids)
{
    std::vector<std::string> out;
    for (const auto id : ids) {
        out.push_back(suspect_requests::partKey(id));
    }
    return out;
}

/// Records that an endpoint process crashed while requests with these parts were running.
void crash(suspect_requests &suspects, std::initializer_list<std::uint64_t> ids, std::uint64_t process, instant at)
{
    for (const auto &part : parts(ids)) {
        suspects.recordCrash(part, process, at);
    }
}

bool isRefused(const suspect_requests &suspects, std::initializer_list<std::uint64_t> ids, instant now)
{
    return suspects.findCrashingPart(parts(ids), now) != nullptr;
}

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
    EXPECT_FALSE(suspects.startTrial("r", start + 60s)) << "the time doubles with each trial";
    EXPECT_TRUE(suspects.startTrial("r", start + 62s));
}

// Guards against requests that are refused for good because many endpoints ended one after the other while they ran.
TEST(suspect_requests, tries_a_request_again_after_all_endpoints_have_crashed)
{
    suspect_requests suspects;
    const auto part = suspect_requests::partKey(9);
    for (std::uint64_t process = 1; process <= 18; ++process) {
        suspects.recordCrash("r", process, start + process * 200ms);
        suspects.recordCrash(part, process, start + process * 200ms);
    }
    EXPECT_TRUE(suspects.startTrial("r", start + 25s));
    EXPECT_TRUE(suspects.startTrial(part, start + 35s));
}

// Guards against a request that crashes an endpoint every 20 s for as long as it comes, at whichever daemon is asked and however long.
TEST(suspect_requests, lets_a_request_through_three_times_over_its_life)
{
    suspect_requests first;
    for (std::uint64_t process = 1; process <= 3; ++process) {
        first.recordCrash("r", process, start);
    }
    suspect_requests second;
    int trials = 0;
    for (auto now = start + 1s; now < start + 3h; now += 1s) {
        // The first daemon is replaced at some time, and the second one takes its place in the order of those that try.
        const bool replaced = now > start + 15min;
        auto &trying = replaced ? second : first;
        ASSERT_TRUE(trying.isSuspect("r", now)) << toMs(now - start);
        if (trying.startTrial("r", now)) {
            ++trials;
            trying.recordCrash("r", 100U + static_cast<std::uint64_t>(trials), now);
        } else {
            trying.noteRefusal("r", now);
        }
        if (!replaced) {
            for (const auto &report : first.reports(8, now)) {
                second.merge(report, now);
            }
        }
    }
    EXPECT_EQ(trials, 3);
    // It comes no more, and its crashes are forgotten.
    EXPECT_FALSE(second.isSuspect("r", start + 3h + 11min));
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

// Guards against sound requests that are refused because they share parts with the prompts that crash endpoints.
TEST(suspect_requests, blames_only_the_part_that_was_in_all_crashes)
{
    suspect_requests suspects;
    for (std::uint64_t process = 1; process <= 6; ++process) {
        // Part 9 crashes; 1 is shared by all prompts, 2 and 3 by every second one.
        crash(suspects, {1, 2 + process % 2, 9}, process, start + process * 200ms);
        if (process == 3) {
            suspects.recordSuccess(suspect_requests::partKey(1), start + process * 200ms + 50ms);
        }
    }
    const auto now = start + 2s;
    EXPECT_TRUE(isRefused(suspects, {1, 2, 9}, now));
    EXPECT_TRUE(isRefused(suspects, {7, 9}, now));
    EXPECT_FALSE(isRefused(suspects, {1}, now));
    EXPECT_FALSE(isRefused(suspects, {1, 2}, now));
    EXPECT_FALSE(isRefused(suspects, {1, 3, 5}, now));
}

// Guards against two parts that hide each other: both were in all crashes, and requests with only one of them tell which it was.
TEST(suspect_requests, tells_two_parts_apart_that_always_came_together)
{
    suspect_requests suspects;
    for (std::uint64_t process = 1; process <= 4; ++process) {
        crash(suspects, {1, 9}, process, start + process * 200ms);
    }
    EXPECT_TRUE(isRefused(suspects, {1, 9}, start + 2s));
    EXPECT_FALSE(isRefused(suspects, {1, 5}, start + 2s));
    EXPECT_FALSE(isRefused(suspects, {7, 9}, start + 2s));
    crash(suspects, {7, 9}, 5, start + 2s);
    EXPECT_TRUE(isRefused(suspects, {7, 9}, start + 2s));
    EXPECT_TRUE(isRefused(suspects, {1, 9}, start + 2s));
    EXPECT_FALSE(isRefused(suspects, {1, 5}, start + 2s));
}

// Guards against the refusal of a common part when endpoints end together for a reason of their own.
TEST(suspect_requests, does_not_blame_a_part_for_crashes_at_the_same_time)
{
    suspect_requests suspects;
    for (std::uint64_t process = 1; process <= 6; ++process) {
        crash(suspects, {1, 2}, process, start + process * 10ms);
    }
    EXPECT_FALSE(isRefused(suspects, {1, 2}, start + 1s));
}

// Guards against the refusal of a part that other requests use with success, here or at another daemon.
TEST(suspect_requests, does_not_blame_a_part_that_succeeds_between_crashes)
{
    suspect_requests local;
    suspect_requests remote;
    for (std::uint64_t process = 1; process <= 8; ++process) {
        const auto at = start + process * 200ms;
        crash(local, {1}, process, at);
        for (const auto &report : local.reports(8, at + 10ms)) {
            remote.merge(report, at + 20ms);
        }
        if (process % 2 == 0) {
            remote.recordSuccess(suspect_requests::partKey(1), at + 30ms);
        }
        for (const auto &report : remote.reports(8, at + 40ms)) {
            local.merge(report, at + 50ms);
        }
    }
    EXPECT_FALSE(isRefused(local, {1}, start + 2200ms));
    EXPECT_FALSE(isRefused(remote, {1}, start + 2200ms));
}

// Guards against a part that crashes one endpoint through each of several daemons and is never refused.
TEST(suspect_requests, adds_up_the_crashes_of_a_part_that_several_daemons_saw)
{
    suspect_requests local;
    for (std::uint64_t process = 1; process <= 3; ++process) {
        suspect_requests remote;
        crash(remote, {9}, process, start + process * 200ms);
        for (const auto &report : remote.reports(8, start + 700ms)) {
            local.merge(report, start + 700ms);
        }
    }
    EXPECT_TRUE(isRefused(local, {9}, start + 1100ms));
    EXPECT_FALSE(isRefused(local, {9}, start + 11min));
}

// Guards against trials of a crashing part that end an endpoint every half minute.
TEST(suspect_requests, waits_longer_after_each_trial_of_a_part)
{
    suspect_requests suspects;
    for (std::uint64_t process = 1; process <= 3; ++process) {
        crash(suspects, {9}, process, start + process * 200ms);
    }
    const auto key = suspect_requests::partKey(9);
    int trials = 0;
    for (auto now = start; now < start + 9min; now += 1s) {
        if (suspects.startTrial(key, now)) {
            ++trials;
            crash(suspects, {9}, 100U + static_cast<std::uint64_t>(trials), now);
        }
    }
    EXPECT_EQ(trials, 4);
}

}
