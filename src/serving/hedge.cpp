#include "serving/hedge.h"

#include <array>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr double maxLoad = 0.7; // Fraction of slots in use. Above it, the queue times at random peaks exceed what a hedge saves.
constexpr double closeCost = 1.25; // Prediction of an endpoint in another failure domain, relative to the shortest, up to which it is preferred.
constexpr double retryShare = 0.5; // Of the retry budget, for hedges: the rest is left for retries, which replace errors.
constexpr int minWonIn50 = 10; // Fewer wins: the extra work mostly saves nothing.
constexpr double trialIntervalMs = 5000; // Between hedges while few win: 20 of them, less than two minutes, can show that they win again.

bool servesInTime(const hedge_input &input, const hedge_candidate &candidate)
{
    // The comparisons also reject a prediction that is not a number.
    return candidate.predictedMs >= 0 && candidate.predictedMs < input.remainingMs && (input.maxOverlapMs <= 0 || candidate.predictedMs < input.maxOverlapMs);
}

int choose(const hedge_input &input)
{
    int best = -1;
    int elsewhere = -1;
    const auto predicted = [&](int index) {
        return input.candidates[static_cast<std::size_t>(index)].predictedMs;
    };
    for (int i = 0; i < static_cast<int>(input.candidates.size()); ++i) {
        const auto &candidate = input.candidates[static_cast<std::size_t>(i)];
        if (!hedgeObstacle(candidate).empty() || !servesInTime(input, candidate)) {
            continue;
        }
        best = best < 0 || candidate.predictedMs < predicted(best) ? i : best;
        if (candidate.otherDomain) {
            elsewhere = elsewhere < 0 || candidate.predictedMs < predicted(elsewhere) ? i : elsewhere;
        }
    }
    return elsewhere >= 0 && predicted(elsewhere) <= closeCost * predicted(best) ? elsewhere : best;
}

hedge_result no(std::string_view reason)
{
    return {.reason = reason};
}

// What the request and its service say. Empty if a second attempt may be sent.
std::string_view findObstacle(const hedge_input &input)
{
    const std::array<std::pair<bool, std::string_view>, 8> obstacles{{
        {!(input.ratio > 0), "off"},
        {!input.mayRunTwice, "must not run twice"},
        {input.stopping, "stopping"},
        {input.suspect, "suspect"},
        {!input.unevenPace && !input.evenServices, "even pace"},
        {input.attempts >= input.maxAttempts, "attempts"},
        {!(input.quantileMs >= 0), "too few samples"},
        {!(input.waitedMs >= input.quantileMs), "not due"},
    }};
    for (const auto &[holds, reason] : obstacles) {
        if (holds) {
            return reason;
        }
    }
    return {};
}

}

std::string_view hedgeObstacle(const hedge_candidate &candidate)
{
    if (!candidate.usable) {
        return "unusable";
    }
    if (candidate.tried) {
        return "tried";
    }
    if (candidate.restricted) {
        return "restricted";
    }
    return candidate.running >= candidate.slots ? "full" : std::string_view();
}

hedge_result decideHedge(const hedge_input &input)
{
    if (const auto obstacle = findObstacle(input); !obstacle.empty()) {
        return no(obstacle);
    }
    const auto &recent = input.allowance;
    const bool fewWin = recent.results >= static_cast<int>(hedge_budget::resultWindow) && recent.won < minWonIn50;
    if (fewWin && recent.sinceLastMs < trialIntervalMs) {
        return no("few hedges win");
    }
    if (input.running > maxLoad * input.slots) {
        return {.checkAgain = true, .reason = "service is near full"};
    }
    const int chosen = choose(input);
    if (chosen < 0) {
        return {.checkAgain = true, .reason = "no endpoint"};
    }
    if (recent.credit < 1) {
        return {.overBudget = true, .reason = "ratio"};
    }
    if (input.retries.used + 1 > retryShare * input.retries.allowed) {
        return {.overBudget = true, .reason = "retry budget"};
    }
    return {.candidate = chosen, .reason = "slow"};
}

}
