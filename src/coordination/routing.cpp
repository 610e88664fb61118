#include "coordination/routing.h"

#include "coordination/endpoint_cost.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace lacewinglock
{

namespace
{

/// An endpoint, or a pair of a prefill and a decode endpoint, that can run the request.
struct route_option
{
    const endpoint_view *endpoint = nullptr;
    const endpoint_view *prefill = nullptr; ///< Null when `endpoint` runs the prefill itself.
    double costMs = 0;
    double firstTokenMs = 0;
    double queueMs = 0;
};

/// Returns why an endpoint cannot take the request, or nothing when it can.
std::optional<std::string_view> exclusionReason(const endpoint_view &view, const route_input &input)
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
    if (view.reserved) {
        return "reserved for a suspect request";
    }
    if (view.changingRole) {
        return "changing role";
    }
    if (!input.repeatable && view.reclaimable) {
        return "reclaimable endpoint for a non-repeatable request";
    }
    if (input.suspect && estimateRunningStreams(view) > 0) {
        return "not idle for a suspect request";
    }
    return std::nullopt;
}

/// Returns the endpoints that can take the request and adds the excluded ones to the result's candidates.
std::vector<const endpoint_view *> eligibleEndpoints(const route_input &input, route_result &result)
{
    std::vector<const endpoint_view *> eligible;
    for (const auto &view : input.endpoints) {
        if (const auto reason = exclusionReason(view, input)) {
            result.candidates.push_back({.endpoint = view.id, .costMs = 0, .reason = std::string(*reason)});
        } else {
            eligible.push_back(&view);
        }
    }
    return eligible;
}

/// Returns for each failure domain with reclaimable endpoints whether all other endpoints have capacity for the streams of these endpoints.
/// Only then they are preferred for new repeatable work.
std::map<std::string_view, bool> domainHeadroom(const std::vector<const endpoint_view *> &eligible)
{
    std::map<std::string_view, int> reclaimableStreams;
    std::map<std::string_view, int> spareInDomain;
    int spare = 0;
    for (const auto *view : eligible) {
        const int running = estimateRunningStreams(*view);
        const int free = std::max(0, streamCapacity(*view, 0) - running);
        spare += free;
        if (view->reclaimable) {
            reclaimableStreams[view->failureDomain] += running;
            spareInDomain[view->failureDomain] += free;
        }
    }
    std::map<std::string_view, bool> headroom;
    for (const auto &[domain, running] : reclaimableStreams) {
        headroom[domain] = running < spare - spareInDomain[domain];
    }
    return headroom;
}

/// Selects by the seed among the options whose cost is within `equalCostToleranceMs` of the lowest.
route_option selectOption(std::vector<route_option> options, std::uint64_t seed)
{
    std::ranges::sort(options, [](const route_option &left, const route_option &right) {
        return std::tie(left.costMs, left.endpoint->id) < std::tie(right.costMs, right.endpoint->id);
    });
    const auto equal = std::ranges::count_if(options, [&](const route_option &item) {
        return item.costMs <= options.front().costMs + tunables::equalCostToleranceMs;
    });
    return options[seed % static_cast<std::uint64_t>(equal)];
}

std::vector<route_option>
singleEndpointOptions(const std::vector<const endpoint_view *> &eligible, const std::map<std::string, endpoint_cost> &costs, bool mixedOnly)
{
    std::vector<route_option> options;
    for (const auto *view : eligible) {
        if (!mixedOnly || view->role == endpoint_role::Mixed) {
            const auto &cost = costs.at(view->id);
            options.push_back(
                {.endpoint = view, .costMs = cost.prefillMs + cost.decodeMs + cost.placementMs, .firstTokenMs = cost.firstTokenMs, .queueMs = cost.queueMs});
        }
    }
    return options;
}

std::vector<route_option> roleOptions(const std::vector<const endpoint_view *> &eligible,
                                      const std::map<std::string, endpoint_cost> &costs,
                                      endpoint_role role,
                                      double endpoint_cost::*phaseCost)
{
    std::vector<route_option> options;
    for (const auto *view : eligible) {
        if (view->role == role) {
            const auto &cost = costs.at(view->id);
            options.push_back({.endpoint = view, .costMs = cost.*phaseCost + cost.placementMs, .firstTokenMs = cost.firstTokenMs, .queueMs = cost.queueMs});
        }
    }
    return options;
}

/// Returns the best pair of a prefill and a decode endpoint. The cost of a pair is a sum, so each endpoint is chosen independently.
std::optional<route_option>
bestPair(const std::vector<const endpoint_view *> &eligible, const std::map<std::string, endpoint_cost> &costs, const route_input &input)
{
    const auto prefill = roleOptions(eligible, costs, endpoint_role::Prefill, &endpoint_cost::prefillMs);
    const auto decode = roleOptions(eligible, costs, endpoint_role::Decode, &endpoint_cost::decodeMs);
    if (prefill.empty() || decode.empty()) {
        return std::nullopt;
    }
    const route_option first = selectOption(prefill, input.seed);
    route_option pair = selectOption(decode, input.seed >> 32U);
    pair.prefill = first.endpoint;
    pair.costMs += first.costMs + input.promptTokens / tunables::kvTransferTokensPerMs;
    pair.firstTokenMs = first.firstTokenMs;
    pair.queueMs = first.queueMs;
    return pair;
}

/// Adds the eligible endpoints with their costs to the result's candidates.
void listCandidates(const std::vector<route_option> &options, const route_option &chosen, route_result &result)
{
    for (const auto &item : options) {
        const bool isChosen = item.endpoint == chosen.endpoint || item.endpoint == chosen.prefill;
        result.candidates.push_back({.endpoint = item.endpoint->id, .costMs = item.costMs, .reason = isChosen ? "chosen" : "higher cost"});
    }
}

struct routing_policy_visitor
{
    const route_input &input;
    const std::vector<const endpoint_view *> &eligible;
    route_result &result;

    route_option operator()(const cost_routing &policy) const
    {
        const auto headroom = domainHeadroom(eligible);
        std::map<std::string, endpoint_cost> costs;
        for (const auto *view : eligible) {
            const bool preferred = policy.preferReclaimable && view->reclaimable && headroom.at(view->failureDomain);
            costs[view->id] = predictCost(*view, input, policy, preferred);
        }
        const auto pair = input.kvTransfer && !input.suspect ? bestPair(eligible, costs, input) : std::nullopt;
        // If a pair exists, only mixed endpoints compete with it: prefill on a decode endpoint would delay all of its streams.
        auto options = singleEndpointOptions(eligible, costs, pair.has_value());
        if (pair) {
            options.push_back(*pair);
        }
        const route_option chosen = selectOption(options, input.seed);
        listCandidates(singleEndpointOptions(eligible, costs, false), chosen, result);
        result.reason = chosen.prefill != nullptr ? "lowest predicted cost, as a pair" : "lowest predicted cost";
        return chosen;
    }

    route_option operator()(const round_robin_routing &policy) const
    {
        const auto select = [&](endpoint_role role) -> const endpoint_view * {
            std::vector<const endpoint_view *> matching;
            std::ranges::copy_if(eligible, std::back_inserter(matching), [&](const auto *view) {
                return view->role == role;
            });
            return matching.empty() ? nullptr : matching[policy.turn % matching.size()];
        };
        result.reason = "next in turn";
        return baselineOption(select(endpoint_role::Prefill), select(endpoint_role::Decode), eligible[policy.turn % eligible.size()]);
    }

    route_option operator()(const least_load_routing &) const
    {
        const auto select = [&](std::optional<endpoint_role> role) -> const endpoint_view * {
            const endpoint_view *best = nullptr;
            const auto load = [](const endpoint_view &view) {
                return std::pair(view.queuedPromptTokens, view.runningStreams);
            };
            for (const auto *view : eligible) {
                if ((!role || view->role == *role) && (best == nullptr || load(*view) < load(*best))) {
                    best = view;
                }
            }
            return best;
        };
        result.reason = "least reported load";
        return baselineOption(select(endpoint_role::Prefill), select(endpoint_role::Decode), select(std::nullopt));
    }

    route_option baselineOption(const endpoint_view *prefill, const endpoint_view *decode, const endpoint_view *single) const
    {
        const bool pair = input.kvTransfer && !input.suspect && prefill != nullptr && decode != nullptr;
        route_option chosen{.endpoint = pair ? decode : single, .prefill = pair ? prefill : nullptr};
        const auto *first = chosen.prefill != nullptr ? chosen.prefill : chosen.endpoint;
        const auto cost = predictCost(*first, input, {.useCache = false}, false);
        chosen.firstTokenMs = cost.firstTokenMs;
        chosen.queueMs = cost.queueMs;
        return chosen;
    }
};

}

route_result decideRoute(const route_input &input)
{
    route_result result;
    const auto eligible = eligibleEndpoints(input, result);
    if (eligible.empty()) {
        result.reason = "no endpoint can take the request";
        return result;
    }
    const route_option chosen = std::visit(routing_policy_visitor{input, eligible, result}, input.policy);
    result.endpoint = chosen.endpoint->id;
    result.prefillEndpoint = chosen.prefill != nullptr ? chosen.prefill->id : "";
    result.predictedFirstTokenMs = chosen.firstTokenMs;
    result.predictedQueueMs = chosen.queueMs;
    return result;
}

}
