#include "coordination/routing.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

endpoint_view engine(std::string id)
{
    return {.id = std::move(id), .failureDomain = "fd1", .freeKvTokens = 100000};
}

route_input request(std::vector<endpoint_view> endpoints)
{
    return {.requestId = "r1", .promptTokens = 1000, .maxOutputTokens = 100, .remainingMs = 10000, .endpoints = std::move(endpoints)};
}

std::string reasonOf(const route_result &result, std::string_view endpoint)
{
    const auto found = std::ranges::find(result.candidates, endpoint, &candidate_score::endpoint);
    return found == result.candidates.end() ? "" : found->reason;
}

}

// Guards against sending a request to an endpoint that is leaving, changing its role or unreachable, or that already failed the request.
TEST(routing, excludes_endpoints_that_cannot_take_work)
{
    auto input = request({engine("a"), engine("b"), engine("c"), engine("d")});
    input.endpoints[0].leaving = true;
    input.endpoints[1].changingRole = true;
    input.endpoints[2].reachable = false;
    input.excluded = {"d"};
    const auto result = decideRoute(input);
    EXPECT_EQ(result.endpoint, "");
    EXPECT_EQ(reasonOf(result, "a"), "leaving");
    EXPECT_EQ(reasonOf(result, "b"), "changing role");
    EXPECT_EQ(reasonOf(result, "c"), "unreachable");
    EXPECT_EQ(reasonOf(result, "d"), "excluded");
}

// Guards against a reclaim that interrupts a request that must not run twice.
TEST(routing, keeps_non_repeatable_work_off_reclaimable_endpoints)
{
    auto input = request({engine("cheap"), engine("ordinary")});
    input.endpoints[0].reclaimable = true;
    input.endpoints[1].runningStreams = 60;
    input.repeatable = false;
    EXPECT_EQ(decideRoute(input).endpoint, "ordinary");
}

// Guards against using ordinary endpoints while cheaper reclaimable ones are free.
TEST(routing, prefers_reclaimable_endpoints_within_the_headroom)
{
    auto input = request({engine("cheap"), engine("ordinary")});
    input.endpoints[0].reclaimable = true;
    input.seed = 1;
    EXPECT_EQ(decideRoute(input).endpoint, "cheap");
}

// Guards against more streams on reclaimable endpoints than the other endpoints could take over.
TEST(routing, does_not_prefer_reclaimable_endpoints_beyond_the_headroom)
{
    auto input = request({engine("cheap"), engine("ordinary")});
    input.endpoints[0].reclaimable = true;
    input.endpoints[0].runningStreams = 20;
    input.endpoints[1].runningStreams = 100;
    input.endpoints[1].decodeStepMsPerStream = 0.2;
    input.endpoints[0].decodeStepMsPerStream = 1;
    const auto beyond = decideRoute(input);
    input.endpoints[1].runningStreams = 20;
    input.endpoints[0].runningStreams = 4;
    const auto within = decideRoute(input);
    const auto costOf = [](const route_result &result) {
        return std::ranges::find(result.candidates, "cheap", &candidate_score::endpoint)->costMs;
    };
    // The step time grows by 1 ms for each of 16 more streams, over 100 output tokens; the lost bonus is added.
    EXPECT_GT(costOf(beyond) - costOf(within), 16 * 100);
}

// Guards against sending more work to an endpoint whose last report shows no load, although this daemon has just filled its queue.
TEST(routing, adds_own_work_to_a_lagging_report)
{
    auto input = request({engine("a"), engine("b")});
    input.endpoints[0].reportAgeMs = 100;
    input.endpoints[0].ownPromptTokensSince = 20000;
    input.endpoints[1].queuedPromptTokens = 4000;
    EXPECT_EQ(decideRoute(input).endpoint, "b");
}

// Guards against counting a queue from an old report that the engine has processed since.
TEST(routing, lets_reported_queues_drain_with_age)
{
    auto view = engine("a");
    view.queuedPromptTokens = 8000;
    view.reportAgeMs = 5000;
    EXPECT_EQ(estimateQueuedPromptTokens(view), 0);
    view.ownPromptTokensWaiting = 3000;
    EXPECT_EQ(estimateQueuedPromptTokens(view), 3000);
}

// Guards against counting own streams twice, as part of the report and as in flight.
TEST(routing, counts_own_streams_once)
{
    auto view = engine("a");
    view.runningStreams = 10;
    view.ownInFlight = 8;
    view.ownInFlightAtReport = 6;
    EXPECT_EQ(estimateRunningStreams(view), 12);
}

// Guards against recomputing a long shared prefix that another endpoint has cached, and against preferring its cache at any queue length.
TEST(routing, weighs_cached_prefix_against_queue)
{
    auto input = request({engine("warm"), engine("idle")});
    input.promptTokens = 4000;
    input.endpoints[0].cachedPromptTokens = 3800;
    input.endpoints[0].queuedPromptTokens = 500;
    EXPECT_EQ(decideRoute(input).endpoint, "warm");
    input.endpoints[0].queuedPromptTokens = 8000;
    EXPECT_EQ(decideRoute(input).endpoint, "idle");
    input.endpoints[0].queuedPromptTokens = 500;
    input.policy = cost_routing{.useCache = false};
    EXPECT_EQ(decideRoute(input).endpoint, "idle");
}

// Guards against a poison request that crashes an endpoint and with it the streams of other callers.
TEST(routing, runs_suspect_requests_alone)
{
    auto input = request({engine("busy"), engine("idle")});
    input.endpoints[0].runningStreams = 1;
    input.endpoints[1].queuedPromptTokens = 100;
    input.suspect = true;
    const auto result = decideRoute(input);
    EXPECT_EQ(result.endpoint, "idle");
    EXPECT_EQ(reasonOf(result, "busy"), "not idle for a suspect request");
}

// Guards against refusals by the router. Only admission refuses for load; routing returns the best endpoint even when it is late.
TEST(routing, chooses_the_best_endpoint_when_none_meets_the_deadline)
{
    auto input = request({engine("a"), engine("b")});
    input.endpoints[0].queuedPromptTokens = 200000;
    input.endpoints[1].queuedPromptTokens = 100000;
    input.remainingMs = 10;
    EXPECT_EQ(decideRoute(input).endpoint, "b");
}

// Guards against daemons with equal reports that all choose the same one of several endpoints of equal cost.
TEST(routing, spreads_equal_costs_by_the_seed)
{
    auto input = request({engine("a"), engine("b")});
    const auto first = decideRoute(input).endpoint;
    input.seed = 1;
    EXPECT_NE(decideRoute(input).endpoint, first);
}

// Guards against prefill on decode engines while prefill engines are available.
TEST(routing, pairs_prefill_and_decode_endpoints)
{
    auto input = request({engine("p"), engine("d")});
    input.endpoints[0].role = endpoint_role::Prefill;
    input.endpoints[1].role = endpoint_role::Decode;
    input.endpoints[1].runningStreams = 40;
    input.kvTransfer = true;
    auto result = decideRoute(input);
    EXPECT_EQ(result.prefillEndpoint, "p");
    EXPECT_EQ(result.endpoint, "d");
    input.kvTransfer = false;
    result = decideRoute(input);
    EXPECT_EQ(result.prefillEndpoint, "");
    EXPECT_NE(result.endpoint, "");
}

// Guards against sending streams to an endpoint without free KV memory.
TEST(routing, avoids_endpoints_without_kv_memory)
{
    auto input = request({engine("full"), engine("free")});
    input.endpoints[0].freeKvTokens = 10;
    input.endpoints[1].runningStreams = 2;
    EXPECT_EQ(decideRoute(input).endpoint, "free");
}

// Guards against daemons with old reports that each send to engines that the others have just filled.
TEST(routing, infers_the_work_of_other_daemons_from_own_work)
{
    auto view = engine("a");
    view.reportAgeMs = 5000;
    view.runningStreams = 30;
    view.ownInFlightAtReport = 10;
    view.ownInFlight = 20;
    view.ownPromptTokensWaiting = 600;
    EXPECT_EQ(estimateRunningStreams(view, 1), 40);
    EXPECT_EQ(estimateRunningStreams(view, 0.5), 50);
    EXPECT_EQ(estimateQueuedPromptTokens(view, 1), 600);
    // The inferred queue has 5/6 of the weight.
    EXPECT_NEAR(estimateQueuedPromptTokens(view, 0.5), 1100, 0.001);
}

}
