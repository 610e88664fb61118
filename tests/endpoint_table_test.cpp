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

    /// Applies a report of the endpoint that was taken at `takenAt` and arrives at `arrivesAt`.
    void report(instant takenAt, instant arrivesAt)
    {
        table.applyReport({.endpoint = "e1", .ageMs = toMs(arrivesAt - takenAt)}, arrivesAt);
    }

    endpoint_table table;
};

}

// Guards against counting a prompt as waiting after its first token, which would make an endpoint with long outputs look overloaded.
TEST_F(endpoint_table_test, prompt_waits_until_its_first_token)
{
    table.beginAttempt("e1", {.attemptId = "a", .promptTokens = 3000}, {}, start);
    table.beginAttempt("e1", {.attemptId = "b", .promptTokens = 500}, {}, start);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 3500);
    table.recordFirstToken("e1", "a", start + 100ms);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 500);
    EXPECT_EQ(view(start).ownInFlight, 2);
}

// Guards against an attempt that fails before its first token and still counts as waiting.
TEST_F(endpoint_table_test, a_failed_attempt_no_longer_waits)
{
    table.beginAttempt("e1", {.attemptId = "a", .promptTokens = 3000}, {}, start);
    table.endAttempt("e1", "a", {}, 0, -1, start + 50ms);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 0);
    EXPECT_EQ(view(start).ownInFlight, 0);
}

// Guards against comparing a report with the own requests at its arrival instead of at the time it was taken: with a delayed report, requests
// would then be missed or counted twice.
TEST_F(endpoint_table_test, own_counts_belong_to_the_time_of_the_report)
{
    table.beginAttempt("e1", {.attemptId = "a", .promptTokens = 1000}, {}, start);
    table.beginAttempt("e1", {.attemptId = "b", .promptTokens = 2000}, {}, start + 100ms);
    table.recordFirstToken("e1", "b", start + 300ms);
    table.endAttempt("e1", "a", {}, 0, -1, start + 400ms);
    table.beginAttempt("e1", {.attemptId = "c", .promptTokens = 4000}, {}, start + 500ms);
    report(start + 200ms, start + 600ms);
    const auto seen = view(start + 600ms);
    EXPECT_EQ(seen.ownInFlightAtReport, 2);
    EXPECT_EQ(seen.ownPromptTokensWaitingAtReport, 3000);
    EXPECT_EQ(seen.ownPromptTokensWaiting, 4000);
    EXPECT_EQ(seen.ownInFlight, 2);
    EXPECT_EQ(seen.ownStreamsSince, 1);
    EXPECT_EQ(seen.ownPromptTokensSince, 4000);
}

// Guards against dropping a finished request from the counts of a report that was taken before its end and still includes it.
TEST_F(endpoint_table_test, an_ended_request_counts_for_reports_taken_before_its_end)
{
    table.beginAttempt("e1", {.attemptId = "a", .promptTokens = 1000}, {}, start);
    table.endAttempt("e1", "a", {}, 0, -1, start + 400ms);
    report(start + 300ms, start + 600ms);
    EXPECT_EQ(view(start + 600ms).ownInFlightAtReport, 1);
    report(start + 500ms, start + 700ms);
    EXPECT_EQ(view(start + 700ms).ownInFlightAtReport, 0);
}

// Guards against counting the cached tokens of an own prompt as waiting for prefill.
TEST_F(endpoint_table_test, only_uncached_tokens_wait)
{
    const std::vector<std::uint64_t> blocks = {1, 2};
    table.applyCacheEvent("e1", blocks, {}, 0);
    table.beginAttempt("e1", {.attemptId = "a", .promptTokens = 1000}, blocks, start);
    EXPECT_EQ(view(start).ownPromptTokensWaiting, 1000 - view(start, blocks).cachedPromptTokens);
    EXPECT_GT(view(start, blocks).cachedPromptTokens, 0);
}

// Guards against a single lost cache event that halves all estimates, after which daemons would expect full prefills at every endpoint.
TEST_F(endpoint_table_test, lost_events_lower_estimates_in_proportion)
{
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t block = 1; block <= 99; ++block) {
        blocks.push_back(block);
    }
    table.applyCacheEvent("e1", blocks, {}, 0);
    const double fullEstimate = view(start, blocks).cachedPromptTokens;
    table.applyCacheEvent("e1", {}, {}, 1);
    EXPECT_NEAR(view(start, blocks).cachedPromptTokens, fullEstimate * 0.99, 1e-6);
    table.applyCacheEvent("e1", {}, {}, 99);
    EXPECT_NEAR(view(start, blocks).cachedPromptTokens, fullEstimate * 0.99 / 2, 1e-6);
}

// Guards against lost events that lower the weight of blocks stored after them, for example after an engine restart.
TEST_F(endpoint_table_test, stored_events_after_lost_events_have_full_weight)
{
    const std::vector<std::uint64_t> blocks = {1};
    table.applyCacheEvent("e1", blocks, {}, 0);
    const double fullEstimate = view(start, blocks).cachedPromptTokens;
    table.applyCacheEvent("e1", blocks, {}, 50);
    EXPECT_EQ(view(start, blocks).cachedPromptTokens, fullEstimate);
}

}
