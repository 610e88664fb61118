#include "state/endpoint_table.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{1000s};

class endpoint_table_test : public testing::Test
{
protected:
    endpoint_table_test()
    {
        configuration config;
        config.endpoints["e1"].group = "main";
        table.configure(config);
    }

    endpoint_view view(instant now, std::span<const std::uint64_t> blocks = {}) const
    {
        return table.viewGroup("main", blocks, now).at(0);
    }

    /// Takes a report of the endpoint that was taken at a moment and arrives later.
    void report(instant takenAt, instant arrivesAt)
    {
        table.takeReport({.endpoint = "e1", .ageMs = toMs(arrivesAt - takenAt)}, arrivesAt);
    }

    endpoint_table table;
};

}

// Guards against counting a prompt as waiting after its first token came, which makes an endpoint with long answers look busy.
TEST_F(endpoint_table_test, prompt_waits_until_its_first_token)
{
    table.noteSent("e1", {.attemptId = "a", .promptTokens = 3000}, {}, start);
    table.noteSent("e1", {.attemptId = "b", .promptTokens = 500}, {}, start);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 3500);
    table.noteFirstToken("e1", "a", start + 100ms);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 500);
    EXPECT_EQ(view(start).ownInFlight, 2);
}

// Guards against an attempt that fails before its first token and counts as waiting for ever.
TEST_F(endpoint_table_test, a_failed_attempt_no_longer_waits)
{
    table.noteSent("e1", {.attemptId = "a", .promptTokens = 3000}, {}, start);
    table.noteFinished("e1", "a", {}, 0, -1, start + 50ms);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 0);
    EXPECT_EQ(view(start).ownInFlight, 0);
}

// Guards against counting own work at the arrival of a report instead of when it was taken: a lagging report would then hide or double work.
TEST_F(endpoint_table_test, own_counts_belong_to_the_time_of_the_report)
{
    table.noteSent("e1", {.attemptId = "a", .promptTokens = 1000}, {}, start);
    table.noteSent("e1", {.attemptId = "b", .promptTokens = 2000}, {}, start + 100ms);
    table.noteFirstToken("e1", "b", start + 300ms);
    table.noteFinished("e1", "a", {}, 0, -1, start + 400ms);
    table.noteSent("e1", {.attemptId = "c", .promptTokens = 4000}, {}, start + 500ms);
    report(start + 200ms, start + 600ms);
    const auto seen = view(start + 600ms);
    EXPECT_EQ(seen.ownInFlightAtReport, 2);
    EXPECT_EQ(seen.ownPromptTokensWaitingAtReport, 3000);
    EXPECT_EQ(seen.ownPromptTokensWaiting, 4000);
    EXPECT_EQ(seen.ownInFlight, 2);
    EXPECT_EQ(seen.ownStreamsSince, 1);
    EXPECT_EQ(seen.ownPromptTokensSince, 4000);
}

// Guards against an ended request that an earlier report still includes but the counts for that report no longer do.
TEST_F(endpoint_table_test, an_ended_request_counts_for_reports_taken_before_its_end)
{
    table.noteSent("e1", {.attemptId = "a", .promptTokens = 1000}, {}, start);
    table.noteFinished("e1", "a", {}, 0, -1, start + 400ms);
    report(start + 300ms, start + 600ms);
    EXPECT_EQ(view(start + 600ms).ownInFlightAtReport, 1);
    report(start + 500ms, start + 700ms);
    EXPECT_EQ(view(start + 700ms).ownInFlightAtReport, 0);
}

// Guards against counting the cached part of an own prompt as work that waits.
TEST_F(endpoint_table_test, only_the_uncached_part_waits)
{
    const std::vector<std::uint64_t> blocks = {1, 2};
    table.noteCacheEvent("e1", blocks, {}, 0);
    table.noteSent("e1", {.attemptId = "a", .promptTokens = 1000}, blocks, start);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 1000 - view(start, blocks).cachedPromptTokens);
    EXPECT_GT(view(start, blocks).cachedPromptTokens, 0);
}

// Guards against one lost cache event that lowers all estimates by half, after which daemons expect full prefills everywhere.
TEST_F(endpoint_table_test, a_gap_lowers_estimates_in_proportion)
{
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t block = 1; block <= 99; ++block) {
        blocks.push_back(block);
    }
    table.noteCacheEvent("e1", blocks, {}, 0);
    const double whole = view(start, blocks).cachedPromptTokens;
    table.noteCacheEvent("e1", {}, {}, 1);
    EXPECT_NEAR(view(start, blocks).cachedPromptTokens, whole * 0.99, 1e-6);
    table.noteCacheEvent("e1", {}, {}, 99);
    EXPECT_NEAR(view(start, blocks).cachedPromptTokens, whole * 0.99 / 2, 1e-6);
}

// Guards against a restarted engine whose cache events never become known again after a gap.
TEST_F(endpoint_table_test, stored_events_after_a_gap_count_whole)
{
    const std::vector<std::uint64_t> blocks = {1};
    table.noteCacheEvent("e1", blocks, {}, 0);
    const double whole = view(start, blocks).cachedPromptTokens;
    table.noteCacheEvent("e1", blocks, {}, 50);
    EXPECT_EQ(view(start, blocks).cachedPromptTokens, whole);
}

}
