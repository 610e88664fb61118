#include "serving/placement_log.h"

#include <gtest/gtest.h>
#include <random>

namespace lacewinglock
{

namespace
{

const engine_model model;

generation_input randomGeneration(std::mt19937_64 &random)
{
    const auto upTo = [&](int most) {
        return std::uniform_int_distribution<int>(0, most)(random);
    };
    generation_input input{
        .requestId = std::to_string(random()),
        .configVersion = 7,
        .promptTokens = static_cast<double>(upTo(30000)),
        .elapsedMs = toTenth(upTo(1000) / 7.0),
        .targetMs = 600,
        .remainingMs = toTenth(upTo(80000) / 11.0),
        .mayDisaggregate = upTo(4) > 0,
        .kvTokenBytes = 18432,
        .linkMbps = 170000,
        .peerAgeMs = 12.5,
        .jitter = upTo(9) / 10.0,
    };
    for (int i = 0; i < 8; ++i) {
        input.engines.push_back({
            .id = std::to_string(i),
            .role = static_cast<endpoint_role>(upTo(2)),
            .local = upTo(1) == 1,
            .excluded = upTo(5) == 0,
            .running = upTo(20),
            .slots = 16,
            .queuedTokens = static_cast<double>(upTo(40000)),
            .cachedTokens = upTo(2) == 0 ? 13300.0 : 0,
            .slowdown = toHundredth(0.5 + upTo(300) / 100.0),
            .failureRate = toHundredth(upTo(90) / 100.0),
            .overdueMs = upTo(5) == 0 ? 300.0 : 0,
            .heldMs = upTo(5) == 0 ? static_cast<double>(upTo(900)) : 0,
        });
    }
    if (upTo(1) == 0) {
        input.uneven = uneven_pace{.choice = static_cast<std::uint32_t>(random()), .overheadMs = toTenth((upTo(600) - 200) / 7.0), .work = toHundredth(0.9)};
        for (auto &engine : input.engines) {
            engine.pace = toHundredth(upTo(3) == 0 ? 1 : 0.25 + upTo(300) / 100.0);
        }
    }
    return input;
}

std::string logged(const generation_input &input)
{
    log_line line(1, "place_generation");
    logPlacement(line, input, placeGeneration(input, model));
    return line.take();
}

}

// Guards against decisions that can't be replayed from the log because an input is missing or rounded.
TEST(placement_log, replays_generation_placements)
{
    std::mt19937_64 random(1);
    replay_counts counts;
    for (int i = 0; i < 500; ++i) {
        const auto input = randomGeneration(random);
        const auto text = logged(input);
        const auto record = parsePlacement(text);
        ASSERT_TRUE(record.ok()) << record.status();
        ASSERT_TRUE(std::holds_alternative<generation_input>(*record));
        EXPECT_EQ(std::get<generation_input>(*record), input);
        const auto status = replayPlacement(text, model, counts);
        ASSERT_TRUE(status.ok()) << status;
    }
    EXPECT_EQ(counts.decisions, 500);
}

// Guards against a replay that accepts any logged result, or a decision with missing fields.
TEST(placement_log, detects_a_changed_result)
{
    std::mt19937_64 random(2);
    replay_counts counts;
    auto text = logged(randomGeneration(random));
    const auto at = text.find("\"output_at\":") + 12;
    text.insert(at, "9");
    EXPECT_FALSE(replayPlacement(text, model, counts).ok());
    EXPECT_FALSE(replayPlacement(R"({"event":"place_generation","id":"x"})", model, counts).ok());
    EXPECT_TRUE(replayPlacement("no decision", model, counts).ok());
}

// Guards against log lines that change for services of even pace: other programs read them.
TEST(placement_log, lines_of_services_of_even_pace_have_no_fields_of_pace)
{
    generation_input input{.requestId = "r", .engines = {{.id = "e", .local = true}}};
    const auto even = logged(input);
    EXPECT_NE(even.find(R"("engines":[["e",)" + std::to_string(static_cast<int>(endpoint_role::Mixed)) + ",1,0,0,1,0,0,100,0,0]]"), std::string::npos) << even;
    EXPECT_EQ(even.find("choice"), std::string::npos);
    input.engines[0].pace = 2.5;
    input.uneven = uneven_pace{.choice = 7, .work = 0.9};
    const auto uneven = logged(input);
    EXPECT_NE(uneven.find(",100,0,0,0,250]]"), std::string::npos) << uneven;
    EXPECT_NE(uneven.find("\"choice\":7,\"overhead_ms\":0,\"work_percent\":90"), std::string::npos) << uneven;
}

// Guards against placements of plain services that can't be replayed from the log.
TEST(placement_log, replays_a_service_placement)
{
    service_input input{.requestId = "r", .configVersion = 3, .workMs = 61.2, .remainingMs = 790.4, .onTimeMs = 290.4, .peerAgeMs = 3.1, .jitter = 0.4};
    input.endpoints
        = {{.id = "a", .local = true, .running = 7, .slots = 6, .failureRate = 0.12, .overdueMs = 20}, {.id = "b", .running = 2, .slots = 6, .heldMs = 33}};
    replay_counts counts;
    for (const bool uneven : {false, true}) {
        if (uneven) {
            input.uneven = uneven_pace{.choice = 0xfedcba98};
            input.endpoints[0].pace = 0.62;
        }
        log_line line(1, "place_service");
        logPlacement(line, input, placeService(input));
        const auto text = line.take();
        const auto record = parsePlacement(text);
        ASSERT_TRUE(record.ok()) << record.status();
        EXPECT_EQ(std::get<service_input>(*record), input);
        EXPECT_TRUE(replayPlacement(text, model, counts).ok());
    }
    EXPECT_EQ(counts.decisions, 2);
}

}
