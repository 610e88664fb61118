#include "burst_load.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

const engine_model model;

// Baseline policy: the engine of each role with the fewest running requests, without regard to cached prefixes.
generation_result fewestRunning(const generation_input &input)
{
    generation_result out{.verdict = placement_verdict::Run};
    const auto fewest = [&](bool wantPrefill) {
        int best = -1;
        for (std::size_t i = 0; i < input.engines.size(); ++i) {
            const bool isPrefill = input.engines[i].role == endpoint_role::Prefill;
            if (isPrefill == wantPrefill && (best < 0 || input.engines[i].running < input.engines[static_cast<std::size_t>(best)].running)) {
                best = static_cast<int>(i);
            }
        }
        return best;
    };
    out.decodeIndex = fewest(false);
    out.prefillIndex = input.promptTokens > 1000 ? fewest(true) : -1;
    return out;
}

generation_result placeWithModel(const generation_input &input)
{
    return placeGeneration(input, model);
}

generation_input twoEngines()
{
    generation_input input{.promptTokens = 17000, .targetMs = 600, .remainingMs = 8000, .kvTokenBytes = 18432, .linkMbps = 170000};
    input.engines.push_back({.id = "prefill", .role = endpoint_role::Prefill, .local = true, .slots = 64});
    input.engines.push_back({.id = "decode", .role = endpoint_role::Decode, .local = true, .slots = 64});
    return input;
}

}

// Guards against a placement that handles alternating bursts no better than the baseline, which only counts running requests.
TEST(place_generation, meets_targets_in_alternating_bursts)
{
    const burst_load load;
    const auto outcome = simulated_fleet(6, 12).run(load, placeWithModel);
    const auto baseline = simulated_fleet(6, 12).run(load, fewestRunning);
    EXPECT_GT(outcome.longPrompts.onTime, 0.9 * outcome.longPrompts.requested);
    EXPECT_GT(outcome.shortPrompts.onTime, 0.95 * outcome.shortPrompts.requested);
    EXPECT_GT(outcome.longPrompts.onTime, baseline.longPrompts.onTime);
    EXPECT_LT(outcome.sharedTokensRecomputed, baseline.sharedTokensRecomputed / 4);
}

// Guards against a cached prefix that is not found because another engine with a shorter one, or with the same one further away, was compared first.
TEST(place_generation, fetches_the_best_cached_prefix)
{
    auto input = twoEngines();
    for (int i = 0; i < 4; ++i) {
        input.engines.push_back({.id = "far-" + std::to_string(i), .role = endpoint_role::Prefill, .running = 64, .slots = 64, .cachedTokens = 13000});
        input.engines.push_back(
            {.id = "short-" + std::to_string(i), .role = endpoint_role::Prefill, .local = true, .running = 64, .slots = 64, .cachedTokens = 500});
    }
    const auto far = placeGeneration(input, model);
    ASSERT_GE(far.kvSourceIndex, 0);
    EXPECT_EQ(input.engines[static_cast<std::size_t>(far.kvSourceIndex)].id, "far-0");
    input.engines.push_back({.id = "near", .role = endpoint_role::Prefill, .local = true, .running = 64, .slots = 64, .cachedTokens = 13000});
    const auto near = placeGeneration(input, model);
    ASSERT_GE(near.kvSourceIndex, 0);
    EXPECT_EQ(input.engines[static_cast<std::size_t>(near.kvSourceIndex)].id, "near");
    EXPECT_LT(near.firstEventMs, far.firstEventMs);
    input.engines.back().excluded = true;
    EXPECT_EQ(placeGeneration(input, model).kvSourceIndex, far.kvSourceIndex);
}

// Guards against queues that grow without bound when the fleet is too small: excess requests must be refused, so that accepted ones run on time.
TEST(place_generation, refuses_excess_load_of_a_small_fleet)
{
    burst_load load;
    load.longPerSecond = 40;
    load.shortPerSecond = 300;
    const auto outcome = simulated_fleet(3, 6).run(load, placeWithModel);
    const auto baseline = simulated_fleet(3, 6).run(load, fewestRunning);
    EXPECT_GT(outcome.longPrompts.refused + outcome.shortPrompts.refused, 0);
    EXPECT_GT(outcome.longPrompts.onTime + outcome.shortPrompts.onTime, 2 * (baseline.longPrompts.onTime + baseline.shortPrompts.onTime));
    EXPECT_GT(outcome.longPrompts.onTime, 0);
    EXPECT_GT(outcome.shortPrompts.onTime, 0);
}

// Guards against repeated prefill of a shared prefix that an engine has cached.
TEST(place_generation, prefers_the_engine_with_the_cached_prefix)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "cached", .role = endpoint_role::Prefill, .local = true, .slots = 64, .cachedTokens = 13300});
    const auto result = placeGeneration(input, model);
    EXPECT_EQ(result.verdict, placement_verdict::Run);
    EXPECT_EQ(result.prefillIndex, 2);
    EXPECT_EQ(result.decodeIndex, 1);
}

// Guards against queueing at the engine with the cached prefix while an idle engine could fetch the prefix in milliseconds.
TEST(place_generation, fetches_the_cached_prefix_from_a_busy_engine)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "cached", .role = endpoint_role::Prefill, .local = true, .slots = 64, .queuedTokens = 20000, .cachedTokens = 13300});
    const auto result = placeGeneration(input, model);
    EXPECT_EQ(result.prefillIndex, 0);
    EXPECT_EQ(result.kvSourceIndex, 2);
    EXPECT_LT(result.firstEventMs, 400);
}

// Guards against requests sent to engines that are draining, down or full.
TEST(place_generation, uses_no_excluded_or_full_engine)
{
    auto input = twoEngines();
    input.engines[0].excluded = true;
    EXPECT_EQ(placeGeneration(input, model).prefillIndex, -1);
    input.engines[1].running = 64;
    const auto full = placeGeneration(input, model);
    EXPECT_EQ(full.verdict, placement_verdict::Refuse);
    EXPECT_GT(full.retryAfterMs, 0);
    input.engines[1].excluded = true;
    EXPECT_EQ(placeGeneration(input, model).reason, "no engine is up");
}

// Guards against retry times before the queue has room, and against equal retry times for all callers.
TEST(place_generation, returns_a_jittered_retry_time)
{
    auto input = twoEngines();
    input.engines[0].queuedTokens = 100000;
    input.engines[1].queuedTokens = 100000;
    const auto first = placeGeneration(input, model);
    ASSERT_EQ(first.verdict, placement_verdict::Refuse);
    EXPECT_GE(first.retryAfterMs, 1000);
    input.jitter = 0.9;
    EXPECT_GT(placeGeneration(input, model).retryAfterMs, first.retryAfterMs);
}

// Guards against choosing an engine that has stopped responding and so looks idle.
TEST(place_generation, avoids_an_engine_with_overdue_responses)
{
    auto input = twoEngines();
    input.engines[0].overdueMs = 2000;
    input.engines.push_back({.id = "other", .role = endpoint_role::Prefill, .local = false, .slots = 64});
    EXPECT_EQ(placeGeneration(input, model).prefillIndex, 2);
}

// Guards against a decode engine chosen in another failure domain while a local one has a free slot.
TEST(place_decode, prefers_a_local_engine_with_room)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "far", .role = endpoint_role::Decode, .local = false, .slots = 64});
    EXPECT_EQ(placeDecode(input, model, true), 1);
    input.engines[1].running = 64;
    EXPECT_EQ(placeDecode(input, model, true), 2);
}

// Guards against short calls queued at one endpoint while another one has free slots.
TEST(place_service, spreads_calls_over_free_slots)
{
    service_input input{.workMs = 60, .remainingMs = 800};
    input.endpoints = {{.id = "a", .local = true, .running = 6, .slots = 6}, {.id = "b", .local = false, .running = 1, .slots = 6}};
    EXPECT_EQ(placeService(input).endpoint, 1);
    input.endpoints[1].excluded = true;
    EXPECT_EQ(placeService(input).endpoint, 0);
}

// Guards against queueing calls that can't be answered before their deadline.
TEST(place_service, refuses_calls_that_would_miss_the_deadline)
{
    service_input input{.workMs = 60, .remainingMs = 200};
    input.endpoints = {{.id = "a", .local = true, .running = 60, .slots = 6}};
    const auto result = placeService(input);
    EXPECT_EQ(result.verdict, placement_verdict::Refuse);
    EXPECT_GT(result.retryAfterMs, 0);
}

TEST(place_service, waits_for_a_held_endpoint_only_if_the_answer_is_on_time)
{
    service_input input{.workMs = 60, .remainingMs = 800, .onTimeMs = 300};
    input.endpoints = {{.id = "held", .local = true, .slots = 6, .heldMs = 200}, {.id = "busy", .local = true, .running = 60, .slots = 6}};
    EXPECT_EQ(placeService(input).endpoint, 0);
    input.endpoints[0].heldMs = 250;
    EXPECT_EQ(placeService(input).endpoint, 1);
    input.endpoints.pop_back();
    const auto refused = placeService(input);
    EXPECT_EQ(refused.verdict, placement_verdict::Refuse);
    EXPECT_GE(refused.retryAfterMs, 250);
}

TEST(place_generation, prefers_engines_that_are_not_held_and_refuses_what_would_be_late)
{
    generation_input input{.promptTokens = 300, .targetMs = 300, .remainingMs = 4000};
    input.engines = {{.id = "held", .role = endpoint_role::Decode, .local = true, .slots = 24, .heldMs = 100},
                     {.id = "free", .role = endpoint_role::Decode, .local = true, .running = 6, .slots = 24}};
    EXPECT_EQ(placeGeneration(input, model).decodeIndex, 1);
    input.engines.pop_back();
    EXPECT_EQ(placeGeneration(input, model).verdict, placement_verdict::Run);
    input.engines[0].heldMs = 2000;
    const auto refused = placeGeneration(input, model);
    EXPECT_EQ(refused.verdict, placement_verdict::Refuse);
    EXPECT_GE(refused.retryAfterMs, 2000);
    EXPECT_EQ(placeDecode(input, model, true), 0);
    input.remainingMs = 1500;
    EXPECT_EQ(placeDecode(input, model, true), -1);
}

TEST(place_generation, refuses_what_would_be_late_because_decode_is_held)
{
    generation_input input{.promptTokens = 17000, .targetMs = 2000, .remainingMs = 20000, .mayDisaggregate = true};
    input.engines = {{.id = "prefill", .role = endpoint_role::Prefill, .local = true, .slots = 24},
                     {.id = "held", .role = endpoint_role::Decode, .local = true, .slots = 24}};
    const auto placed = placeGeneration(input, model);
    ASSERT_EQ(placed.verdict, placement_verdict::Run);
    ASSERT_EQ(placed.prefillIndex, 0);
    input.engines[1].heldMs = 4000;
    const auto refused = placeGeneration(input, model);
    EXPECT_EQ(refused.verdict, placement_verdict::Refuse);
    EXPECT_GE(refused.retryAfterMs, std::min(input.engines[1].heldMs - placed.prefillDoneMs, 3000.0)); // No retry time is longer than 3 s.
}

// Guards against predictions that ignore the pace of an engine, and against queues at slow engines.
TEST(place_generation, prefers_engines_of_better_pace)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "fast", .role = endpoint_role::Prefill, .local = true, .slots = 64, .pace = 0.625});
    const auto fast = placeGeneration(input, model);
    EXPECT_EQ(fast.prefillIndex, 2);
    input.engines[2].pace = 1.6;
    const auto usual = placeGeneration(input, model);
    EXPECT_EQ(usual.prefillIndex, 0);
    EXPECT_NEAR(fast.prefillMs, 0.625 * usual.prefillMs, 1);
    input.engines[0].queuedTokens = 25000;
    EXPECT_EQ(placeGeneration(input, model).prefillIndex, 2);
    input.uneven = uneven_pace{.overheadMs = 32, .work = 0.9};
    input.engines[2].excluded = true;
    input.engines[0].queuedTokens = 0;
    EXPECT_NEAR(placeGeneration(input, model).prefillMs, 0.9 * usual.prefillMs, 1);
}

// Guards against herding: daemons that see the same figures must not all choose the same endpoint, and none may choose one where a request is late
// while others are in time.
TEST(place_service, many_daemons_with_the_same_figures_spread_their_calls)
{
    service_input input{.workMs = 50, .remainingMs = 1000, .onTimeMs = 200};
    for (int i = 0; i < 12; ++i) {
        input.endpoints.push_back({.id = std::to_string(i), .local = true, .running = i, .slots = 16, .pace = i < 10 ? 1.0 : 4.1});
    }
    std::vector<int> chosen(12);
    for (std::uint32_t daemon = 0; daemon < 84; ++daemon) {
        input.uneven = uneven_pace{.choice = daemon * 2654435761U};
        const auto result = placeService(input);
        ASSERT_EQ(result.verdict, placement_verdict::Run);
        ++chosen[static_cast<std::size_t>(result.endpoint)];
    }
    EXPECT_EQ(chosen[10] + chosen[11], 0);
    EXPECT_GT(chosen[0], 84 / 12);
    EXPECT_LT(*std::ranges::max_element(chosen), 84 * 2 / 3);
    input.uneven.reset();
    EXPECT_EQ(placeService(input).endpoint, 0);
}

// Guards against daemons that all move their streams to the same engine after the prefill.
TEST(place_decode, many_daemons_with_the_same_figures_spread_their_streams)
{
    auto input = twoEngines();
    for (int i = 0; i < 11; ++i) {
        input.engines.push_back({.id = std::to_string(i), .role = endpoint_role::Decode, .local = true, .slots = 64});
    }
    std::set<int> chosen;
    for (std::uint32_t daemon = 0; daemon < 84; ++daemon) {
        input.uneven = uneven_pace{.choice = daemon * 2654435761U};
        chosen.insert(placeDecode(input, model, true));
    }
    EXPECT_GT(chosen.size(), 8U);
}

}
