#include "coordination/endpoint_cost.h"

#include "coordination/routing.h"
#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

double prefillRate(const endpoint_view &view)
{
    return std::max(1.0, view.prefillTokensPerSecond) / 1000.0;
}

double stepMs(const endpoint_view &view, int streams)
{
    return view.decodeStepMs + view.decodeStepMsPerStream * streams;
}

/// Milliseconds of prefill that an engine adds to a decode step.
double chunkMs(const endpoint_view &view)
{
    return tunables::mixedPrefillChunkTokens / prefillRate(view);
}

/// Time per prompt token: an engine with running streams computes one chunk per decode step.
double msPerPromptToken(const endpoint_view &view, int streams)
{
    if (streams == 0 || view.role == endpoint_role::Prefill) {
        return 1.0 / prefillRate(view);
    }
    return (stepMs(view, streams) + chunkMs(view)) / tunables::mixedPrefillChunkTokens;
}

/// Time within the target counts once, time beyond it `lateFactor` times.
double withLatePenalty(double ms, double targetMs)
{
    return ms + std::max(0.0, ms - targetMs) * tunables::lateFactor;
}

/// The cached part of the prompt, less what the endpoint may have evicted since its report.
double uncachedTokens(const endpoint_view &view, const route_input &input, const cost_routing &policy)
{
    if (!policy.useCache) {
        return input.promptTokens;
    }
    const double confidence = std::max(0.5, 1.0 - tunables::evictionRiskPerSecond * view.reportAgeMs / 1000.0);
    return std::max(0.0, input.promptTokens - view.cachedPromptTokens * confidence);
}

/// Cost of one output token at a given gap. A stream beyond the capacity makes all streams late, not only itself.
double tokenCostMs(double gap, int streams)
{
    const double late = std::max(0.0, gap - tunables::plannedTokenGapMs);
    return gap + late * tunables::lateFactor * (streams + 1);
}

/// Part of an endpoint's decode steps that will carry prefill if all its streams are like this request.
double prefillStepShare(double uncached, const route_input &input, int streams)
{
    return std::min(1.0, uncached / tunables::mixedPrefillChunkTokens * (streams + 1) / std::max(1.0, input.maxOutputTokens));
}

double decodeCostMs(const endpoint_view &view, const route_input &input, int streams, double uncached)
{
    const double gap = stepMs(view, streams + 1);
    if (view.role == endpoint_role::Decode && input.kvTransfer) {
        return input.maxOutputTokens * tokenCostMs(gap, streams);
    }
    const double share = prefillStepShare(uncached, input, streams);
    // A few slow steps are within the target of 95 in 100; more make every stream of the endpoint late.
    const double judged = share > tunables::toleratedSlowSteps ? gap + chunkMs(view) : gap;
    return input.maxOutputTokens * (share * chunkMs(view) + gap + tokenCostMs(judged, streams) - judged);
}

double placementCostMs(const endpoint_view &view, const route_input &input, bool reclaimablePreferred)
{
    double cost = view.reportAgeMs > tunables::staleReportMs ? tunables::staleReportPenaltyMs : 0.0;
    const double needed = input.promptTokens + input.maxOutputTokens - view.cachedPromptTokens;
    // Endpoints without a report show no free memory at all.
    if (view.freeKvTokens > 0 && view.role != endpoint_role::Prefill) {
        cost += std::max(0.0, needed - view.freeKvTokens) * tunables::kvShortageMsPerToken;
    }
    if (view.reclaimable && input.repeatable && reclaimablePreferred) {
        cost -= tunables::reclaimableBonusMs;
    }
    return cost;
}

}

int streamCapacity(const endpoint_view &view, double prefillMs)
{
    const double spare = toMs(tunables::tokenGapTarget) - view.decodeStepMs - prefillMs;
    return std::max(0, static_cast<int>(spare / std::max(0.001, view.decodeStepMsPerStream)));
}

double queuedPromptTokens(const endpoint_view &view, double demandShare)
{
    if (view.ownPromptTokensWaiting < 0) {
        return std::max(0.0, view.queuedPromptTokens + view.ownPromptTokensSince - prefillRate(view) * view.reportAgeMs);
    }
    // Own work is known exactly. That of others comes from the report, which drains with time, and more and more from the assumption that
    // other daemons send in proportion to this one.
    const double drained = prefillRate(view) * view.reportAgeMs / 2;
    const double reported = std::max(0.0, view.queuedPromptTokens - view.ownPromptTokensWaitingAtReport - drained);
    const double inferred = view.ownPromptTokensWaiting * (1 / std::max(0.01, demandShare) - 1);
    const double trust = tunables::reportHalfValueMs / (tunables::reportHalfValueMs + std::max(0.0, view.reportAgeMs));
    return view.ownPromptTokensWaiting + trust * reported + (1 - trust) * inferred;
}

int runningStreams(const endpoint_view &view, double demandShare)
{
    if (view.ownInFlightAtReport < 0) {
        const int ownAtReport = std::max(0, view.ownInFlight - view.ownStreamsSince);
        return view.ownInFlight + std::max(0, view.runningStreams - ownAtReport);
    }
    const double growth = (view.ownInFlight - view.ownInFlightAtReport) * (1 / std::max(0.01, demandShare) - 1);
    return view.ownInFlight + std::max(0, static_cast<int>(view.runningStreams - view.ownInFlightAtReport + growth));
}

endpoint_cost predictCost(const endpoint_view &view, const route_input &input, const cost_routing &policy, bool reclaimablePreferred)
{
    const int streams = runningStreams(view, input.demandShare);
    const double uncached = uncachedTokens(view, input, policy);
    const double perToken = msPerPromptToken(view, streams);
    endpoint_cost cost;
    cost.queueMs = queuedPromptTokens(view, input.demandShare) * perToken;
    cost.firstTokenMs = cost.queueMs + uncached * perToken;
    cost.prefillMs = withLatePenalty(cost.firstTokenMs, toMs(tunables::firstTokenTarget));
    if (view.role != endpoint_role::Prefill) {
        cost.prefillMs += streams * uncached / prefillRate(view) * tunables::delayedStreamFactor;
    }
    cost.decodeMs = decodeCostMs(view, input, streams, uncached);
    cost.placementMs = placementCostMs(view, input, reclaimablePreferred);
    return cost;
}

}
