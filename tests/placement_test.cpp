#include "burst_load.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

const engine_model model;

// The rule before: the engine with the least running requests of the kind that the prompt calls for, without kept parts.
generation_result leastRunning(const generation_input &input)
{
    generation_result out{.verdict = placement_verdict::Run};
    const auto least = [&](bool reader) {
        int best = -1;
        for (std::size_t i = 0; i < input.engines.size(); ++i) {
            const bool reads = input.engines[i].role == endpoint_role::Prefill;
            if (reads == reader && (best < 0 || input.engines[i].running < input.engines[static_cast<std::size_t>(best)].running)) {
                best = static_cast<int>(i);
            }
        }
        return best;
    };
    out.output = least(false);
    out.prompt = input.promptTokens > 1000 ? least(true) : -1;
    return out;
}

generation_result placed(const generation_input &input)
{
    return placeGeneration(input, model);
}

generation_input twoEngines()
{
    generation_input input{.promptTokens = 17000, .targetMs = 600, .remainingMs = 8000, .kvTokenBytes = 18432, .linkMbps = 170000};
    input.engines.push_back({.id = "reader", .role = endpoint_role::Prefill, .local = true, .slots = 64});
    input.engines.push_back({.id = "output", .role = endpoint_role::Decode, .local = true, .slots = 64});
    return input;
}

}

// Guards against a placement that serves bursts of long and short prompts no better than counting requests does.
TEST(place_generation, serves_alternating_bursts_in_time)
{
    const burst_load load;
    const auto ours = modelled_fleet(6, 12).play(load, placed);
    const auto before = modelled_fleet(6, 12).play(load, leastRunning);
    EXPECT_GT(ours.longPrompts.onTime, 0.9 * ours.longPrompts.asked);
    EXPECT_GT(ours.shortPrompts.onTime, 0.95 * ours.shortPrompts.asked);
    EXPECT_GT(ours.longPrompts.onTime, before.longPrompts.onTime);
    EXPECT_LT(ours.sharedTokensReadAgain, before.sharedTokensReadAgain / 4);
}

// Guards against queues that grow without bound when the fleet is too small: the rest is refused, and what runs is mostly on time.
TEST(place_generation, refuses_what_a_small_fleet_cannot_serve)
{
    burst_load load;
    load.longPerSecond = 40;
    load.shortPerSecond = 300;
    const auto ours = modelled_fleet(3, 6).play(load, placed);
    const auto before = modelled_fleet(3, 6).play(load, leastRunning);
    EXPECT_GT(ours.longPrompts.refused + ours.shortPrompts.refused, 0);
    EXPECT_GT(ours.longPrompts.onTime + ours.shortPrompts.onTime, 2 * (before.longPrompts.onTime + before.shortPrompts.onTime));
    EXPECT_GT(ours.longPrompts.onTime, 0);
    EXPECT_GT(ours.shortPrompts.onTime, 0);
}

// Guards against a prompt read again although an engine keeps its shared part.
TEST(place_generation, prefers_the_engine_that_keeps_the_prompt)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "keeper", .role = endpoint_role::Prefill, .local = true, .slots = 64, .cachedTokens = 13300});
    const auto result = placeGeneration(input, model);
    EXPECT_EQ(result.verdict, placement_verdict::Run);
    EXPECT_EQ(result.prompt, 2);
    EXPECT_EQ(result.output, 1);
}

// Guards against a long queue at the keeper while another engine could fetch the part in milliseconds.
TEST(place_generation, fetches_kept_parts_from_a_busy_engine)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "keeper", .role = endpoint_role::Prefill, .local = true, .slots = 64, .queuedTokens = 20000, .cachedTokens = 13300});
    const auto result = placeGeneration(input, model);
    EXPECT_EQ(result.prompt, 0);
    EXPECT_EQ(result.fetchFrom, 2);
    EXPECT_LT(result.firstEventMs, 400);
}

// Guards against requests sent to engines that are leaving, down or full.
TEST(place_generation, uses_no_excluded_or_full_engine)
{
    auto input = twoEngines();
    input.engines[0].excluded = true;
    EXPECT_EQ(placeGeneration(input, model).prompt, -1);
    input.engines[1].running = 64;
    const auto full = placeGeneration(input, model);
    EXPECT_EQ(full.verdict, placement_verdict::Refuse);
    EXPECT_GT(full.retryAfterMs, 0);
    input.engines[1].excluded = true;
    EXPECT_EQ(placeGeneration(input, model).reason, "no engine is up");
}

// Guards against callers that are told to come back before the queue has room, or all at the same moment.
TEST(place_generation, tells_when_to_come_back)
{
    auto input = twoEngines();
    input.engines[0].queuedTokens = 100000;
    input.engines[1].queuedTokens = 100000;
    const auto first = placeGeneration(input, model);
    ASSERT_EQ(first.verdict, placement_verdict::Refuse);
    EXPECT_GE(first.retryAfterMs, 1000);
    input.roll = 0.9;
    EXPECT_GT(placeGeneration(input, model).retryAfterMs, first.retryAfterMs);
}

// Guards against an engine that has stopped answering but looks idle.
TEST(place_generation, avoids_an_engine_whose_answers_are_overdue)
{
    auto input = twoEngines();
    input.engines[0].overdueMs = 2000;
    input.engines.push_back({.id = "other", .role = endpoint_role::Prefill, .local = false, .slots = 64});
    EXPECT_EQ(placeGeneration(input, model).prompt, 2);
}

// Guards against an output engine chosen in another failure domain while a local one has room.
TEST(place_output, prefers_a_local_engine_with_room)
{
    auto input = twoEngines();
    input.engines.push_back({.id = "far", .role = endpoint_role::Decode, .local = false, .slots = 64});
    EXPECT_EQ(placeOutput(input, model, true), 1);
    input.engines[1].running = 64;
    EXPECT_EQ(placeOutput(input, model, true), 2);
}

// Guards against short calls that wait at one endpoint while another one is free.
TEST(place_service, spreads_calls_over_free_slots)
{
    service_input input{.workMs = 60, .remainingMs = 800};
    input.endpoints = {{.id = "a", .local = true, .running = 6, .slots = 6}, {.id = "b", .local = false, .running = 1, .slots = 6}};
    EXPECT_EQ(placeService(input).endpoint, 1);
    input.endpoints[1].excluded = true;
    EXPECT_EQ(placeService(input).endpoint, 0);
}

// Guards against calls that are held although they can't be answered in time.
TEST(place_service, refuses_what_cannot_be_answered_in_time)
{
    service_input input{.workMs = 60, .remainingMs = 200};
    input.endpoints = {{.id = "a", .local = true, .running = 60, .slots = 6}};
    const auto result = placeService(input);
    EXPECT_EQ(result.verdict, placement_verdict::Refuse);
    EXPECT_GT(result.retryAfterMs, 0);
}

}
