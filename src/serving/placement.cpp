#include "serving/placement.h"

#include "serving/spread_choice.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>

namespace lacewinglock
{

namespace
{

constexpr double crossDomainPenaltyMs = 10; // Penalty for another failure domain: network time, and traffic between domains costs money.
constexpr double workWeight = 1; // Each millisecond of prefill also delays the requests queued behind it by one.
constexpr double maxLateQueueMs = 40; // A request that is late anyway may still wait behind about one short prompt.
constexpr double deadlineFraction = 0.6; // Of the remaining time, for the first event; the rest is needed for decode.
constexpr double mixedPrefillFraction = 0.5; // Of the target time: a longer prefill on an engine that decodes would delay the short prompts there.
constexpr double minRetryAfterMs = 250; // An earlier retry would fall into the same burst.
constexpr double maxRetryAfterMs = 3000;
constexpr double jitterFraction = 0.5; // Retries of callers refused together are spread over this fraction of the retry time.
constexpr double crossDomainRoundTripMs = 3; // Network round trip to another failure domain.
// Expected queue at a prefill engine that the daemon does not see yet, as a fraction of the mean queue that it sees: the loads of others are about
// 165 ms old, and a long prompt takes 400 ms. It keeps short prompts from prefill engines that only look idle.
constexpr double hiddenQueueFraction = 0.4;
// Candidates drawn at random where the pace is uneven; the fewer, the less daemons herd, but the worse is the best of them. Of 3 to 6, these gave the lowest
// 95th percentiles (docs/measurements.md). A prefill engine works on one prompt at a time, so herding costs more there than where slots are free.
constexpr std::size_t prefillDraws = 3;
constexpr std::size_t slotDraws = 5;
constexpr double maxFailureRate = 0.9; // Keeps a failing endpoint eligible, so that it is tried again when all fail.

double msPerQueuedToken(const engine_model &model, const engine_candidate &engine)
{
    const bool mixed = engine.role != endpoint_role::Prefill;
    const double chunk = model.chunkTokens * (mixed ? model.mixedChunkFraction : 1);
    const double step = model.stepMs + model.stepMsPerRequest * engine.running;
    return ((mixed ? model.mixedPrefillSlowdown : 1) / model.prefillTokensPerMs + step / chunk) * engine.slowdown * engine.pace;
}

double queueMs(const engine_model &model, const engine_candidate &engine)
{
    return std::max({engine.queuedTokens * msPerQueuedToken(model, engine), engine.overdueMs, engine.heldMs});
}

double transferMs(const generation_input &input, const engine_model &model, double tokens, bool sameDomain)
{
    if (input.linkMbps <= 0) {
        return model.transferSetupMs;
    }
    const double bits = tokens * input.kvTokenBytes * 8;
    return model.transferSetupMs + bits / (input.linkMbps * 1000) * (sameDomain ? 1 : 2);
}

/// Expected time when failed attempts are repeated at this failure rate.
double withFailures(double ms, double failureRate)
{
    return ms / (1 - std::min(failureRate, maxFailureRate));
}

/// Prefill of the prompt on one engine.
struct prefill_plan
{
    int engine = -1;
    int kvSourceIndex = -1;
    double queueMs = 0; ///< Queue time.
    double doneMs = 0; ///< Time until the prefill has ended.
    double workMs = 0; ///< Prefill work.
    double costMs = 0; ///< For comparison with other engines, with penalties.
};

// The engines to compare as sources of cached prefix blocks, by index. Fetch times depend only on the length of the cached prefix and the failure
// domain, so one engine of each kind is enough. Prefixes end at block boundaries, so there are few kinds, whatever the number of engines.
std::vector<int> kvSources(const generation_input &input)
{
    std::vector<int> sources;
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &candidate = input.engines[i];
        const bool known = std::ranges::any_of(sources, [&](int source) {
            const auto &other = input.engines[static_cast<std::size_t>(source)];
            return other.cachedTokens == candidate.cachedTokens && other.local == candidate.local;
        });
        if (!candidate.excluded && candidate.cachedTokens > 0 && !known) {
            sources.push_back(static_cast<int>(i));
        }
    }
    return sources;
}

// The cheapest way to prefill the prompt on one engine: with its own cached prefix or with a longer one fetched from another engine.
prefill_plan planPrefill(const generation_input &input, const engine_model &model, std::span<const int> sources, int index)
{
    const auto &engine = input.engines[static_cast<std::size_t>(index)];
    const double queue = queueMs(model, engine);
    const auto workFor = [&](double cached) {
        return prefillMs(model, engine.role, std::max(0.0, input.promptTokens - cached), cached, engine.running) * engine.slowdown * engine.pace;
    };
    prefill_plan best{
        .engine = index, .queueMs = queue, .doneMs = queue + workFor(engine.cachedTokens) + model.firstTokenOverheadMs, .workMs = workFor(engine.cachedTokens)};
    for (const int source : sources) {
        const auto &holder = input.engines[static_cast<std::size_t>(source)];
        if (holder.cachedTokens <= engine.cachedTokens) {
            continue;
        }
        const double fetch = transferMs(input, model, holder.cachedTokens - engine.cachedTokens, holder.local == engine.local);
        const double work = workFor(holder.cachedTokens);
        const double done = std::max(queue, fetch) + work + model.firstTokenOverheadMs;
        if (done < best.doneMs) {
            best.kvSourceIndex = source;
            best.doneMs = done;
            best.workMs = work;
        }
    }
    best.costMs = withFailures(best.doneMs, engine.failureRate) + workWeight * best.workMs + (engine.local ? 0 : crossDomainPenaltyMs);
    return best;
}

bool hasFreeSlot(const engine_candidate &engine)
{
    return !engine.excluded && engine.running < engine.slots;
}

// Time from the end of the prefill, which is `prefillDoneMs` away, to the first event: the KV transfer, and one step of the batch that the request joins, which
// takes longer while other prompts are prefilled there.
double decodeStartMs(const generation_input &input, const engine_model &model, const engine_candidate &engine, bool prefillIsLocal, double prefillDoneMs)
{
    const double held = std::max(0.0, engine.heldMs - prefillDoneMs);
    const double otherPrefillMs
        = engine.queuedTokens > 0 ? model.chunkTokens * model.mixedChunkFraction * model.mixedPrefillSlowdown / model.prefillTokensPerMs * engine.pace : 0;
    const double step = (model.stepMs + model.stepMsPerRequest * engine.running) * engine.slowdown * engine.pace;
    return held + transferMs(input, model, input.promptTokens, prefillIsLocal == engine.local)
        + withFailures(engine.overdueMs + step + otherPrefillMs, engine.failureRate) + (engine.local ? 0 : crossDomainRoundTripMs);
}

engine_model corrected(engine_model model, const std::optional<uneven_pace> &uneven)
{
    if (uneven) {
        model.firstTokenOverheadMs += uneven->overheadMs;
        model.prefillTokensPerMs /= uneven->work;
        model.stepMs *= uneven->work;
        model.stepMsPerRequest *= uneven->work;
        model.attentionMsPerMillionPairs *= uneven->work;
    }
    return model;
}

// Whether a path whose first event is `firstEventMs` away runs.
placement_verdict classify(const generation_input &input, double firstEventMs, double queueTimeMs)
{
    if (input.elapsedMs + firstEventMs <= input.targetMs) {
        return placement_verdict::Run;
    }
    return queueTimeMs <= maxLateQueueMs && firstEventMs <= deadlineFraction * input.remainingMs ? placement_verdict::RunLate : placement_verdict::Refuse;
}

double meanPrefillQueueMs(const generation_input &input, const engine_model &model)
{
    double sum = 0;
    int count = 0;
    for (const auto &engine : input.engines) {
        if (engine.role == endpoint_role::Prefill && !engine.excluded) {
            sum += engine.queuedTokens * msPerQueuedToken(model, engine);
            ++count;
        }
    }
    return count > 0 ? sum / count : 0;
}

// Options are chosen at random only among those of one verdict and one kind of path. Disaggregated paths of short prompts would otherwise be taken too
// often: long prompts that a daemon does not see yet cost more time at a prefill engine than short ones elsewhere.
int groupOf(placement_verdict verdict, bool disaggregated = false)
{
    return 2 * static_cast<int>(verdict) + (disaggregated ? 1 : 0);
}

// The random number of one of the two choices of a placement; nullopt for a service of even pace, whose cheapest path is chosen.
std::optional<std::uint32_t> choiceOf(const std::optional<uneven_pace> &uneven, std::uint32_t part)
{
    return uneven ? std::optional(uneven->choice + part) : std::nullopt;
}

/// Limits a retry time to the allowed range and adds jitter.
double withJitter(double ms, double jitter)
{
    return std::clamp(ms, minRetryAfterMs, maxRetryAfterMs) * (1 + jitterFraction * jitter);
}

}

double prefillMs(const engine_model &model, endpoint_role role, double tokens, double cachedTokens, int running)
{
    const bool mixed = role != endpoint_role::Prefill;
    const double chunk = model.chunkTokens * (mixed ? model.mixedChunkFraction : 1);
    const double steps = std::ceil(tokens / chunk) * (model.stepMs + model.stepMsPerRequest * running);
    const double pairs = tokens * (cachedTokens + tokens / 2) / 1e6 * model.attentionMsPerMillionPairs;
    return tokens * (mixed ? model.mixedPrefillSlowdown : 1) / model.prefillTokensPerMs + steps + pairs;
}

// Step 1: find the cheapest prefill engine. Step 2: for each other engine, compare a prefill there with the disaggregated path from that prefill
// engine. Step 3: run the request on the cheapest path, or refuse it if it would start too late.
generation_result placeGeneration(const generation_input &input, const engine_model &settingsModel)
{
    const auto model = corrected(settingsModel, input.uneven);
    const auto sources = kvSources(input);
    spread_choice<prefill_plan> prefills;
    double shortestQueueMs = maxRetryAfterMs;
    bool anyAvailable = false;
    bool anyPrefillEngine = false;
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &engine = input.engines[i];
        anyPrefillEngine = anyPrefillEngine || (engine.role == endpoint_role::Prefill && !engine.excluded && input.mayDisaggregate);
        anyAvailable = anyAvailable || !engine.excluded;
        if (!hasFreeSlot(engine)) {
            continue;
        }
        shortestQueueMs = std::min(shortestQueueMs, queueMs(model, engine));
        if (engine.role == endpoint_role::Prefill && input.mayDisaggregate) {
            const auto plan = planPrefill(input, model, sources, static_cast<int>(i));
            prefills.add(plan.costMs, groupOf(classify(input, plan.doneMs, plan.queueMs)), plan);
        }
    }
    const auto disaggregated = prefills.take(choiceOf(input.uneven, 0), prefillDraws);
    const double hiddenMs = input.uneven && disaggregated ? hiddenQueueFraction * meanPrefillQueueMs(input, model) : 0;
    spread_choice<generation_result> paths;
    const auto consider = [&](double cost, const prefill_plan &plan, int prefillIndex, int decodeIndex, double first) {
        const double queue = std::max(plan.queueMs, input.engines[static_cast<std::size_t>(decodeIndex)].heldMs - plan.doneMs);
        const auto verdict = classify(input, first, queue);
        paths.add(cost,
                  groupOf(verdict, prefillIndex >= 0),
                  {.verdict = verdict,
                   .prefillIndex = prefillIndex,
                   .decodeIndex = decodeIndex,
                   .kvSourceIndex = plan.kvSourceIndex,
                   .firstEventMs = first,
                   .prefillDoneMs = plan.doneMs,
                   .queueMs = queue,
                   .prefillMs = plan.workMs});
    };
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &engine = input.engines[i];
        if (!hasFreeSlot(engine) || engine.role == endpoint_role::Prefill) {
            continue;
        }
        const int index = static_cast<int>(i);
        const auto combined = planPrefill(input, model, sources, index);
        const bool delaysOthers = anyPrefillEngine && combined.queueMs + combined.workMs > mixedPrefillFraction * input.targetMs;
        if (!delaysOthers) {
            consider(combined.costMs, combined, -1, index, combined.doneMs);
        }
        if (disaggregated) {
            const auto &prefillEngine = input.engines[static_cast<std::size_t>(disaggregated->engine)];
            const double startMs = decodeStartMs(input, model, engine, prefillEngine.local, disaggregated->doneMs);
            const double first = disaggregated->doneMs + startMs;
            consider(
                disaggregated->costMs + hiddenMs + startMs + (engine.local ? 0 : crossDomainPenaltyMs), *disaggregated, disaggregated->engine, index, first);
        }
    }
    auto best = paths.take(choiceOf(input.uneven, 1), slotDraws).value_or(generation_result());
    if (best.decodeIndex < 0) {
        best.reason = anyAvailable ? "all engines are full" : "no engine is up";
        best.retryAfterMs = withJitter(anyAvailable ? minRetryAfterMs : maxRetryAfterMs / 3, input.jitter);
        return best;
    }
    switch (best.verdict) {
    case placement_verdict::Run:
        best.reason = "on time";
        break;
    case placement_verdict::RunLate:
        best.reason = "late";
        break;
    case placement_verdict::Refuse:
        best.reason = "too late";
        best.retryAfterMs = withJitter(best.queueMs, input.jitter);
        break;
    }
    return best;
}

int placeDecode(const generation_input &input, const engine_model &settingsModel, bool prefillIsLocal)
{
    const auto model = corrected(settingsModel, input.uneven);
    spread_choice<int> engines;
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &engine = input.engines[i];
        if (!hasFreeSlot(engine) || engine.role == endpoint_role::Prefill || engine.heldMs >= input.remainingMs) {
            continue;
        }
        const double ms = decodeStartMs(input, model, engine, prefillIsLocal, 0) + (engine.local ? 0 : crossDomainPenaltyMs);
        engines.add(ms, 0, static_cast<int>(i));
    }
    return engines.take(choiceOf(input.uneven, 0), slotDraws).value_or(-1);
}

service_result placeService(const service_input &input)
{
    struct option
    {
        int endpoint = -1;
        double predictedMs = 0;
    };
    spread_choice<option> options;
    service_result best;
    double shortestWaitMs = maxRetryAfterMs;
    bool anyAvailable = false;
    for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
        const auto &endpoint = input.endpoints[i];
        if (endpoint.excluded) {
            continue;
        }
        anyAvailable = true;
        const double workMs = input.workMs * endpoint.pace;
        const double queuedAhead = std::max(0, endpoint.running - endpoint.slots + 1);
        const double queueTimeMs = std::max({queuedAhead / endpoint.slots * workMs, endpoint.overdueMs, endpoint.heldMs});
        const double predicted = queueTimeMs + workMs + (endpoint.local ? 0 : crossDomainRoundTripMs);
        shortestWaitMs = std::min(shortestWaitMs, queueTimeMs);
        if (endpoint.heldMs > maxLateQueueMs && predicted > input.onTimeMs) {
            continue;
        }
        // The second term prefers, among free endpoints, the one with the smaller fraction of slots in use.
        const double cost = withFailures(predicted, endpoint.failureRate) + workMs / 4 * endpoint.running / endpoint.slots;
        const auto verdict = predicted > input.remainingMs ? placement_verdict::Refuse
            : predicted > input.onTimeMs                   ? placement_verdict::RunLate
                                                           : placement_verdict::Run;
        options.add(cost, groupOf(verdict), {.endpoint = static_cast<int>(i), .predictedMs = predicted});
    }
    if (const auto chosen = options.take(choiceOf(input.uneven, 0), slotDraws)) {
        best.endpoint = chosen->endpoint;
        best.predictedMs = chosen->predictedMs;
    }
    if (!anyAvailable) {
        best.reason = "no endpoint is up";
        best.retryAfterMs = withJitter(minRetryAfterMs, input.jitter);
    } else if (best.endpoint < 0) {
        best.reason = "endpoints take no more now";
        best.retryAfterMs = withJitter(shortestWaitMs, input.jitter);
    } else if (best.predictedMs > input.remainingMs) {
        best.reason = "too late";
        best.retryAfterMs = withJitter(shortestWaitMs, input.jitter);
    } else {
        best.verdict = placement_verdict::Run;
        best.reason = "shortest";
    }
    return best;
}

}
