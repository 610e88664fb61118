#include "coordination/routing.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace lacewinglock
{

namespace
{

/// Why an endpoint cannot take the request, or nothing when it can.
std::optional<std::string_view> passOverReason(const endpoint_view &view, const route_input &input)
{
    if (std::ranges::find(input.excluded, view.id) != input.excluded.end()) {
        return "excluded";
    }
    if (view.leaving) {
        return "leaving";
    }
    if (!view.reachable) {
        return "unreachable";
    }
    if (view.changingRole) {
        return "changing role";
    }
    if (!input.repeatable && view.reclaimable) {
        return "reclaimable endpoint for a non-repeatable request";
    }
    if (input.suspect && view.ownInFlight + view.runningStreams > 0) {
        return "not idle for a suspect request";
    }
    return std::nullopt;
}

double firstTokenMs(const endpoint_view &view, const route_input &input)
{
    const double uncached = std::max(0.0, input.promptTokens - view.cachedPromptTokens);
    const double queued = view.queuedPromptTokens + view.ownPromptTokensSince;
    return (queued + uncached) / std::max(1.0, view.prefillTokensPerSecond) * 1000.0;
}

double decodeMs(const endpoint_view &view, const route_input &input)
{
    const int streams = view.runningStreams + view.ownStreamsSince;
    return input.maxOutputTokens * (view.decodeStepMs + view.decodeStepMsPerStream * streams);
}

}

route_result decideRoute(const route_input &input)
{
    route_result result;
    const endpoint_view *best = nullptr;
    double bestCost = 0;
    for (const auto &view : input.endpoints) {
        if (const auto reason = passOverReason(view, input)) {
            result.candidates.push_back({.endpoint = view.id, .costMs = 0, .reason = std::string(*reason)});
            continue;
        }
        const double cost = firstTokenMs(view, input) + decodeMs(view, input);
        result.candidates.push_back({.endpoint = view.id, .costMs = cost, .reason = "higher cost"});
        if (best == nullptr || cost < bestCost) {
            best = &view;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        result.reason = "no endpoint can take the request";
        return result;
    }
    result.endpoint = best->id;
    result.predictedFirstTokenMs = firstTokenMs(*best, input);
    result.reason = "lowest predicted cost";
    std::ranges::find(result.candidates, best->id, &candidate_score::endpoint)->reason = "chosen";
    return result;
}

}
