#include "coordination/endpoint_cost.h"

#include "coordination/routing.h"
#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

/// Prompt tokens per millisecond.
double prefillRate(const endpoint_view &view)
{
    return std::max(1.0, view.prefillTokensPerSecond) / 1000.0;
}

/// Time of a decode step.
double stepMs(const endpoint_view &view, int streams)
{
    return view.decodeStepMs + view.decodeStepMsPerStream * streams;
}

/// Time that a prefill chunk adds to a decode step.
double prefillChunkMs(const endpoint_view &view)
{
    return tunables::mixedPrefillChunkTokens / prefillRate(view);
}

/// Prefill time per prompt token. An engine with running streams computes one chunk per decode step.
double msPerPromptToken(const endpoint_view &view, int streams)
{
    if (streams == 0 || view.role == endpoint_role::Prefill) {
        return 1.0 / prefillRate(view);
    }
    return (stepMs(view, streams) + prefillChunkMs(view)) / tunables::mixedPrefillChunkTokens;
}

/// Adds the penalty of `latePenaltyFactor` for each millisecond beyond the target.
double withLatePenalty(double ms, double targetMs)
{
    return ms + std::max(0.0, ms - targetMs) * tunables::latePenaltyFactor;
}

/// Prompt tokens to compute. The cached prefix is discounted for what the endpoint may have evicted since its report.
double uncachedTokens(const endpoint_view &view, const route_input &input, const cost_routing &policy)
{
    if (!policy.useCache) {
        return input.promptTokens;
    }
    const double confidence = std::max(0.5, 1.0 - tunables::evictionRiskPerSecond * view.reportAgeMs / 1000.0);
    return std::max(0.0, input.promptTokens - view.cachedPromptTokens * confidence);
}

/// Cost of one output token at a given token gap. A stream beyond the capacity makes all streams of the endpoint late, not only itself.
double tokenCostMs(double gap, int streams)
{
    const double excess = std::max(0.0, gap - tunables::plannedTokenGapMs);
    return gap + excess * tunables::latePenaltyFactor * (streams + 1);
}

/// Fraction of an endpoint's decode steps that include prefill if all its streams are like this request.
double prefillStepFraction(double uncached, const route_input &input, int streams)
{
    return std::min(1.0, uncached / tunables::mixedPrefillChunkTokens * (streams + 1) / std::max(1.0, input.maxOutputTokens));
}

double decodeCostMs(const endpoint_view &view, const route_input &input, int streams, double uncached)
{
    const double gap = stepMs(view, streams + 1);
    if (view.role == endpoint_role::Decode && input.kvTransfer) {
        return input.maxOutputTokens * tokenCostMs(gap, streams);
    }
    const double fraction = prefillStepFraction(uncached, input, streams);
    // The token gap target holds for 95% of the steps, so a small fraction of slow steps is tolerated. More make every stream late.
    const double effectiveGap = fraction > tunables::toleratedSlowStepFraction ? gap + prefillChunkMs(view) : gap;
    return input.maxOutputTokens * (fraction * prefillChunkMs(view) + gap + tokenCostMs(effectiveGap, streams) - effectiveGap);
}

double placementCostMs(const endpoint_view &view, const route_input &input, bool reclaimablePreferred)
{
    double cost = view.reportAgeMs > tunables::staleReportMs ? tunables::staleReportPenaltyMs : 0.0;
    const double needed = input.promptTokens + input.maxOutputTokens - view.cachedPromptTokens;
    // Without a report, freeKvTokens is 0.
    if (view.freeKvTokens > 0 && view.role != endpoint_role::Prefill) {
        cost += std::max(0.0, needed - view.freeKvTokens) * tunables::kvShortagePenaltyMsPerToken;
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

double estimateQueuedPromptTokens(const endpoint_view &view, double demandShare)
{
    if (view.ownPromptTokensWaiting < 0) {
        return std::max(0.0, view.queuedPromptTokens + view.ownPromptTokensSince - prefillRate(view) * view.reportAgeMs);
    }
    // Own work is known exactly. The work of other daemons is a weighted mean of the reported queue, which drains with time, and of a queue
    // inferred from own work, assuming that they send in proportion to this daemon. The weight of the report falls with its age.
    const double drained = prefillRate(view) * view.reportAgeMs / 2;
    const double reported = std::max(0.0, view.queuedPromptTokens - view.ownPromptTokensWaitingAtReport - drained);
    const double inferred = view.ownPromptTokensWaiting * (1 / std::max(0.01, demandShare) - 1);
    const double reportWeight = tunables::reportHalfWeightAgeMs / (tunables::reportHalfWeightAgeMs + std::max(0.0, view.reportAgeMs));
    return view.ownPromptTokensWaiting + reportWeight * reported + (1 - reportWeight) * inferred;
}

int estimateRunningStreams(const endpoint_view &view, double demandShare)
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
    const int streams = estimateRunningStreams(view, input.demandShare);
    const double uncached = uncachedTokens(view, input, policy);
    const double perToken = msPerPromptToken(view, streams);
    endpoint_cost cost;
    cost.queueMs = estimateQueuedPromptTokens(view, input.demandShare) * perToken;
    cost.firstTokenMs = cost.queueMs + uncached * perToken;
    cost.prefillMs = withLatePenalty(cost.firstTokenMs, toMs(tunables::firstTokenTarget));
    if (view.role != endpoint_role::Prefill) {
        cost.prefillMs += streams * uncached / prefillRate(view) * tunables::delayedStreamPenaltyFactor;
    }
    cost.decodeMs = decodeCostMs(view, input, streams, uncached);
    cost.placementMs = placementCostMs(view, input, reclaimablePreferred);
    return cost;
}

}
