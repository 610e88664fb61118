#include "serving/hedge_log.h"
#include "serving/latency_quantiles.h"

#include <gtest/gtest.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{1000s};

/// Logged input of a request that gets a second attempt. Candidates: [id, other domain, usable, tried, restricted, running, slots, predicted ms].
constexpr const char *slowRequest = R"({"event":"hedge","id":"r1","service":"desk","first":"e1","ratio":0.05,"even_services":false,"uneven_pace":true,
    "may_run_twice":true,"suspect":false,"stopping":false,"attempts":1,"max_attempts":2,"waited_ms":80,"quantile_ms":80,"left_ms":500,"overlap_ms":0,
    "running":6,"slots":12,"credit":1,"results":50,"won":10,"since_last_ms":0,"retries_used":1,"retries_allowed":4,
    "candidates":[["e2",0,1,0,0,1,4,40]]})";

hedge_input makeInput(const char *patch = "{}")
{
    auto line = nlohmann::json::parse(slowRequest);
    line.merge_patch(nlohmann::json::parse(patch));
    return parseHedge(line.dump())->value();
}

struct hedge_case
{
    const char *reason; ///< "slow" if the second attempt is sent.
    const char *patch;
};

const hedge_case hedgeCases[] = {
    {"slow", R"({})"},
    {"off", R"({"ratio":0})"},
    {"must not run twice", R"({"may_run_twice":false})"},
    {"stopping", R"({"stopping":true})"},
    {"suspect", R"({"suspect":true})"},
    {"even pace", R"({"uneven_pace":false})"},
    {"slow", R"({"uneven_pace":false,"even_services":true})"},
    {"attempts", R"({"max_attempts":1})"},
    {"attempts", R"({"attempts":2})"},
    {"too few samples", R"({"quantile_ms":-1})"},
    {"not due", R"({"waited_ms":79})"},
    {"few hedges win", R"({"won":9})"},
    {"slow", R"({"won":9,"since_last_ms":5000})"},
    {"slow", R"({"won":0,"results":49})"},
    {"service is near full", R"({"running":9})"},
    {"slow", R"({"running":8})"},
    {"no endpoint", R"({"candidates":[]})"},
    {"no endpoint", R"({"candidates":[["e2",0,1,0,0,4,4,40]]})"},
    {"no endpoint", R"({"candidates":[["e2",0,0,0,0,1,4,40]]})"},
    {"no endpoint", R"({"candidates":[["e2",0,1,1,0,1,4,40]]})"},
    {"no endpoint", R"({"candidates":[["e2",0,1,0,1,1,4,40]]})"},
    {"no endpoint", R"({"candidates":[["e2",0,1,0,0,1,4,-1]]})"},
    {"no endpoint", R"({"left_ms":40})"},
    {"no endpoint", R"({"overlap_ms":40})"},
    {"ratio", R"({"credit":0.99})"},
    {"retry budget", R"({"retries_used":2})"},
};

}

// Guards against a second attempt that one of the limits forbids, and against limits that forbid all.
TEST(hedge, each_limit_holds)
{
    for (const auto &[reason, patch] : hedgeCases) {
        const auto result = decideHedge(makeInput(patch));
        EXPECT_EQ(result.reason, reason) << patch;
        EXPECT_EQ(result.candidate >= 0, result.reason == "slow");
        EXPECT_EQ(result.overBudget, result.reason == "ratio" || result.reason == "retry budget");
        EXPECT_EQ(result.checkAgain, result.reason == "no endpoint" || result.reason == "service is near full");
    }
    auto input = makeInput();
    input.candidates[0].predictedMs = std::numeric_limits<double>::quiet_NaN();
    EXPECT_EQ(decideHedge(input).reason, "no endpoint");
}

// Guards against a second attempt that meets the cause of the slowness again although another failure domain is as good.
TEST(hedge, prefers_another_failure_domain_if_it_costs_little_more)
{
    auto input = makeInput();
    input.candidates.push_back({.id = "e3", .otherDomain = true, .usable = true, .slots = 4, .predictedMs = 50});
    EXPECT_EQ(decideHedge(input).candidate, 1);
    input.candidates[1].predictedMs = 51;
    EXPECT_EQ(decideHedge(input).candidate, 0);
}

// Guards against a log line from which the decision can't be repeated.
TEST(hedge, its_log_line_gives_the_same_decision)
{
    auto input = makeInput();
    input.candidates.push_back({.id = "e3", .otherDomain = true, .usable = true, .slots = 4, .predictedMs = 50.1});
    input.allowance.credit = 1.05;
    input.ratio = 0.025;
    log_line line(5, "hedge");
    logHedge(line, input, decideHedge(input));
    auto text = line.take();
    const auto parsed = parseHedge(text);
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(*parsed, input);
    EXPECT_TRUE(replayHedge(text).ok());
    text.replace(text.find("\"chosen\":0"), 10, "\"chosen\":1");
    EXPECT_FALSE(replayHedge(text).ok());
    EXPECT_FALSE(replayHedge(R"({"event":"hedge","id":"r1"})").ok());
    EXPECT_TRUE(replayHedge(R"({"event":"request","id":"r1"})").ok());
}

// Guards against more hedges than the ratio, also right after a start, and against a burst after a quiet time.
TEST(hedge_budget, keeps_to_the_ratio)
{
    hedge_budget budget;
    const auto sendAll = [&] {
        int sent = 0;
        for (; budget.allowance("desk", start).credit >= 1; ++sent) {
            budget.noteSent("desk", start);
        }
        return sent;
    };
    EXPECT_EQ(sendAll(), 0);
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.noteRequest("desk", 0.05, start);
        sent += sendAll();
        EXPECT_LE(sent, 0.05 * (i + 1) + 1e-6);
    }
    EXPECT_GE(sent, 49);
    for (int i = 0; i < 1000; ++i) {
        budget.noteRequest("desk", 0.05, start);
    }
    EXPECT_EQ(sendAll(), static_cast<int>(hedge_budget::maxCredit));
}

// Guards against results that count for ever, and against state that grows with the services.
TEST(hedge_budget, remembers_the_last_results_of_a_bounded_number_of_services)
{
    hedge_budget budget;
    budget.noteRequest("desk", 1, start + 1h);
    for (int i = 0; i < 120; ++i) {
        budget.noteResult("desk", i < 60);
    }
    EXPECT_EQ(budget.allowance("desk", start).results, 50);
    EXPECT_EQ(budget.allowance("desk", start).won, 0);
    for (int i = 0; i < 1000; ++i) {
        budget.noteRequest("s" + std::to_string(i), 1, start);
    }
    EXPECT_EQ(budget.services(), hedge_budget::maxServices);
    EXPECT_EQ(budget.allowance("desk", start).results, 50);
}

// Guards against hedges that take what is left for retries of failed calls: the hedge needs room for itself and as much again.
TEST(hedge_budget, the_retry_budget_tells_its_room)
{
    retry_budget retries({.ratio = 0.2, .slack = 0, .window = 10s});
    for (int i = 0; i < 100; ++i) {
        retries.noteRequest("desk", start);
    }
    EXPECT_TRUE(retries.tryAcquire("desk", 1, start));
    EXPECT_EQ(retries.room("desk", 1, start), (retry_room{.used = 1, .allowed = 10}));
    EXPECT_EQ(retries.room("desk", 1, start + 11s), retry_room{});
}

// Guards against a quantile of a few samples, of old ones or of invalid ones.
TEST(latency_quantiles, needs_enough_recent_samples)
{
    latency_quantiles latencies;
    for (int i = 1; i < 50; ++i) {
        latencies.record("read", 1, i, latency_sample::Answered, start);
    }
    latencies.record("read", 1, std::numeric_limits<double>::quiet_NaN(), latency_sample::Answered, start);
    latencies.record("read", 1, -1, latency_sample::Answered, start);
    EXPECT_FALSE(latencies.percentile95("read", 1, start));
    latencies.record("read", 1, 50, latency_sample::Answered, start);
    EXPECT_EQ(latencies.percentile95("read", 1, start + 2s), 48);
    EXPECT_FALSE(latencies.percentile95("read", 2, start));
    EXPECT_FALSE(latencies.percentile95("read", 1, start + 2min));
    EXPECT_EQ(latencies.meanRemainingMs("read", 1, 47), 2);
}

// Guards against state that grows with the routes.
TEST(latency_quantiles, are_kept_for_a_bounded_number_of_routes)
{
    latency_quantiles latencies;
    for (int i = 0; i < 1000; ++i) {
        latencies.record("route" + std::to_string(i), sizeClass(i), 5, latency_sample::Answered, start + std::chrono::seconds(i));
    }
    EXPECT_EQ(latencies.series(), latency_quantiles::maxSeries);
    EXPECT_LT(sizeClass(1e300), 20);
    EXPECT_LT(sizeClass(380), sizeClass(17000));
}

// Guards against hedges that cause more hedges: every attempt that takes a little longer than the quantile is cancelled, so its time is never known.
TEST(latency_quantiles, attempts_that_are_cancelled_do_not_lower_the_quantile)
{
    latency_quantiles latencies;
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> times(std::log(40), 0.5); // The 95th percentile is 91.
    instant now = start;
    double sum = 0;
    constexpr int attempts = 20000;
    for (int i = 0; i < 2 * attempts; ++i, now += 20ms) {
        const double ms = times(random);
        const auto quantile = latencies.percentile95("read", 1, now);
        const double cancelledAt = quantile ? *quantile + 5 : 1e9;
        latencies.record("read", 1, std::min(ms, cancelledAt), ms > cancelledAt ? latency_sample::Censored : latency_sample::Answered, now);
        sum += i < attempts ? 0 : quantile.value_or(0);
    }
    EXPECT_GT(sum / attempts, 0.9 * 91);
    EXPECT_LT(sum / attempts, 1.15 * 91);
}

}
