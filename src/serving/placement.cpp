#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lacewinglock
{

namespace
{

constexpr double otherDomainMs = 10; // Price of a leg to another failure domain: link time, and bytes between domains cost money.
constexpr double workWeight = 1; // Each millisecond of reading also delays those behind it by one.
constexpr double lateQueueMs = 40; // A request that is late in any case may wait so long behind others: about one short prompt.
constexpr double deadlinePart = 0.6; // The output needs the rest of the time.
constexpr double mixedReadingPart = 0.5; // Of the wanted time: longer readings on engines for outputs would hold up the short prompts there.
constexpr double minRetryAfterMs = 250; // Sooner, callers would come back within the same burst.
constexpr double maxRetryAfterMs = 3000;
constexpr double spreadPart = 0.5; // Callers that were refused together come back over this part of the time.
constexpr double domainHopMs = 3; // There and back between failure domains.
constexpr double maxFailureShare = 0.9; // Keeps a failing endpoint in the choice, so that it is tried again when all fail.

double msPerQueuedToken(const engine_model &model, const engine_candidate &engine)
{
    const bool mixed = engine.role != endpoint_role::Prefill;
    const double chunk = model.chunkTokens * (mixed ? model.mixedChunkPart : 1);
    const double step = model.stepMs + model.stepMsPerRequest * engine.running;
    return ((mixed ? model.mixedSlowdown : 1) / model.promptTokensPerMs + step / chunk) * engine.slowness;
}

double queueMs(const engine_model &model, const engine_candidate &engine)
{
    return std::max(engine.queuedTokens * msPerQueuedToken(model, engine), engine.overdueMs);
}

double transferMs(const generation_input &input, const engine_model &model, double tokens, bool sameDomain)
{
    if (input.linkMbps <= 0) {
        return model.transferSetupMs;
    }
    const double bits = tokens * input.kvTokenBytes * 8;
    return model.transferSetupMs + bits / (input.linkMbps * 1000) * (sameDomain ? 1 : 2);
}

/// Failing engines cost the time of the attempts that fail.
double withFailures(double ms, double failureShare)
{
    return ms / (1 - std::min(failureShare, maxFailureShare));
}

struct reading_plan
{
    int engine = -1;
    int fetchFrom = -1;
    double queueMs = 0; ///< Behind others.
    double doneMs = 0; ///< Until the prompt is read.
    double workMs = 0;
    double costMs = 0;
};

// The cheapest way to have the prompt read on one engine.
reading_plan planReading(const generation_input &input, const engine_model &model, int index)
{
    const auto &engine = input.engines[static_cast<std::size_t>(index)];
    const double queue = queueMs(model, engine);
    const auto workFor = [&](double kept) {
        return readingMs(model, engine.role, std::max(0.0, input.promptTokens - kept), kept, engine.running) * engine.slowness;
    };
    reading_plan best{
        .engine = index, .queueMs = queue, .doneMs = queue + workFor(engine.cachedTokens) + model.firstTokenMs, .workMs = workFor(engine.cachedTokens)};
    for (std::size_t other = 0; other < input.engines.size(); ++other) {
        const auto &holder = input.engines[other];
        if (static_cast<int>(other) == index || holder.excluded || holder.cachedTokens <= engine.cachedTokens) {
            continue;
        }
        const double fetch = transferMs(input, model, holder.cachedTokens - engine.cachedTokens, holder.local == engine.local);
        const double work = workFor(holder.cachedTokens);
        const double done = std::max(queue, fetch) + work + model.firstTokenMs;
        if (done < best.doneMs) {
            best.fetchFrom = static_cast<int>(other);
            best.doneMs = done;
            best.workMs = work;
        }
    }
    best.costMs = withFailures(best.doneMs, engine.failureShare) + workWeight * best.workMs + (engine.local ? 0 : otherDomainMs);
    return best;
}

bool hasRoom(const engine_candidate &engine)
{
    return !engine.excluded && engine.running < engine.slots;
}

// From the end of the reading to the first event: the memory moves, and the output joins a batch whose steps are longer while other prompts
// are read there.
double joiningMs(const generation_input &input, const engine_model &model, const engine_candidate &engine, bool readerIsLocal)
{
    const double reading = engine.queuedTokens > 0 ? model.chunkTokens * model.mixedChunkPart * model.mixedSlowdown / model.promptTokensPerMs : 0;
    const double step = (model.stepMs + model.stepMsPerRequest * engine.running) * engine.slowness;
    return transferMs(input, model, input.promptTokens, readerIsLocal == engine.local) + withFailures(engine.overdueMs + step + reading, engine.failureShare)
        + (engine.local ? 0 : domainHopMs);
}

double spread(double ms, double roll)
{
    return std::clamp(ms, minRetryAfterMs, maxRetryAfterMs) * (1 + spreadPart * roll);
}

}

double readingMs(const engine_model &model, endpoint_role role, double tokens, double keptTokens, int running)
{
    const bool mixed = role != endpoint_role::Prefill;
    const double chunk = model.chunkTokens * (mixed ? model.mixedChunkPart : 1);
    const double steps = std::ceil(tokens / chunk) * (model.stepMs + model.stepMsPerRequest * running);
    const double pairs = tokens * (keptTokens + tokens / 2) / 1e6 * model.pairMsPerMillion;
    return tokens * (mixed ? model.mixedSlowdown : 1) / model.promptTokensPerMs + steps + pairs;
}

// Step 1: the best engine for prompts. Step 2: with it, the best engine for the output. Step 3: engines that do both.
// Step 4: run the cheapest, or refuse what would begin too late.
generation_result placeGeneration(const generation_input &input, const engine_model &model)
{
    std::optional<reading_plan> apart;
    generation_result best;
    double bestCost = 0;
    double shortestQueueMs = maxRetryAfterMs;
    bool anyUp = false;
    bool anyReader = false;
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &engine = input.engines[i];
        anyReader = anyReader || (engine.role == endpoint_role::Prefill && !engine.excluded && input.maySplit);
        anyUp = anyUp || !engine.excluded;
        if (!hasRoom(engine)) {
            continue;
        }
        shortestQueueMs = std::min(shortestQueueMs, queueMs(model, engine));
        if (engine.role == endpoint_role::Prefill && input.maySplit) {
            if (const auto plan = planReading(input, model, static_cast<int>(i)); !apart || plan.costMs < apart->costMs) {
                apart = plan;
            }
        }
    }
    const auto consider = [&](double cost, const reading_plan &plan, int prompt, int output, double first) {
        if (best.output < 0 || cost < bestCost) {
            bestCost = cost;
            best = {.prompt = prompt,
                    .output = output,
                    .fetchFrom = plan.fetchFrom,
                    .firstEventMs = first,
                    .promptReadMs = plan.doneMs,
                    .queueMs = plan.queueMs,
                    .readingMs = plan.workMs};
        }
    };
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &engine = input.engines[i];
        if (!hasRoom(engine) || engine.role == endpoint_role::Prefill) {
            continue;
        }
        const int index = static_cast<int>(i);
        const auto here = planReading(input, model, index);
        const bool holdsUpOthers = anyReader && here.queueMs + here.workMs > mixedReadingPart * input.targetMs;
        if (!holdsUpOthers) {
            consider(here.costMs, here, -1, index, here.doneMs);
        }
        if (apart) {
            const auto &reader = input.engines[static_cast<std::size_t>(apart->engine)];
            const double joining = joiningMs(input, model, engine, reader.local);
            const double first = apart->doneMs + joining;
            consider(apart->costMs + joining + (engine.local ? 0 : otherDomainMs), *apart, apart->engine, index, first);
        }
    }
    if (best.output < 0) {
        best.reason = anyUp ? "all engines are full" : "no engine is up";
        best.retryAfterMs = spread(anyUp ? minRetryAfterMs : maxRetryAfterMs / 3, input.roll);
        return best;
    }
    const double first = input.elapsedMs + best.firstEventMs;
    if (first <= input.targetMs) {
        best.verdict = placement_verdict::Run;
        best.reason = "on time";
    } else if (best.queueMs <= lateQueueMs && best.firstEventMs <= deadlinePart * input.remainingMs) {
        best.verdict = placement_verdict::RunLate;
        best.reason = "late";
    } else {
        best.verdict = placement_verdict::Refuse;
        best.reason = "too late";
        best.retryAfterMs = spread(best.queueMs, input.roll);
    }
    return best;
}

int placeOutput(const generation_input &input, const engine_model &model, bool readerIsLocal)
{
    int best = -1;
    double bestMs = 0;
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
        const auto &engine = input.engines[i];
        if (!hasRoom(engine) || engine.role == endpoint_role::Prefill) {
            continue;
        }
        const double ms = joiningMs(input, model, engine, readerIsLocal) + (engine.local ? 0 : otherDomainMs);
        if (best < 0 || ms < bestMs) {
            best = static_cast<int>(i);
            bestMs = ms;
        }
    }
    return best;
}

service_result placeService(const service_input &input)
{
    service_result best;
    double bestCost = 0;
    double soonestMs = maxRetryAfterMs;
    bool anyUp = false;
    for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
        const auto &endpoint = input.endpoints[i];
        if (endpoint.excluded) {
            continue;
        }
        anyUp = true;
        const double ahead = std::max(0, endpoint.running - endpoint.slots + 1);
        const double waiting = std::max(ahead / endpoint.slots * input.workMs, endpoint.overdueMs);
        const double predicted = waiting + input.workMs + (endpoint.local ? 0 : domainHopMs);
        soonestMs = std::min(soonestMs, waiting);
        // Among free endpoints the one with the smaller share of slots in use.
        const double cost = withFailures(predicted, endpoint.failureShare) + input.workMs / 4 * endpoint.running / endpoint.slots;
        if (best.endpoint < 0 || cost < bestCost) {
            bestCost = cost;
            best.endpoint = static_cast<int>(i);
            best.predictedMs = predicted;
        }
    }
    if (!anyUp) {
        best.reason = "no endpoint is up";
        best.retryAfterMs = spread(minRetryAfterMs, input.roll);
    } else if (best.predictedMs > input.remainingMs) {
        best.reason = "too late";
        best.retryAfterMs = spread(soonestMs, input.roll);
    } else {
        best.verdict = placement_verdict::Run;
        best.reason = "shortest";
    }
    return best;
}

}
