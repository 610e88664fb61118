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

/// An endpoint, or a pair of endpoints, that can run the request.
struct option
{
    const endpoint_view *endpoint = nullptr;
    const endpoint_view *prefill = nullptr; ///< Null when `endpoint` computes the prompt itself.
    double costMs = 0;
    double firstTokenMs = 0;
    double queueMs = 0;
};

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
    if (view.reserved) {
        return "reserved for a suspect request";
    }
    if (view.changingRole) {
        return "changing role";
    }
    if (!input.repeatable && view.reclaimable) {
        return "reclaimable endpoint for a non-repeatable request";
    }
    if (input.suspect && runningStreams(view) > 0) {
        return "not idle for a suspect request";
    }
    return std::nullopt;
}

/// Splits the endpoints into those that can take the request and the candidates passed over.
std::vector<const endpoint_view *> eligibleEndpoints(const route_input &input, route_result &result)
{
    std::vector<const endpoint_view *> eligible;
    for (const auto &view : input.endpoints) {
        if (const auto reason = passOverReason(view, input)) {
            result.candidates.push_back({.endpoint = view.id, .costMs = 0, .reason = std::string(*reason)});
        } else {
            eligible.push_back(&view);
        }
    }
    return eligible;
}

/// Failure domains whose reclaimable endpoints could all be lost without overloading the rest. New repeatable work is drawn only to these.
std::map<std::string_view, bool> domainHeadroom(const std::vector<const endpoint_view *> &eligible)
{
    std::map<std::string_view, int> atRisk;
    std::map<std::string_view, int> spareInDomain;
    int spare = 0;
    for (const auto *view : eligible) {
        const int running = runningStreams(*view);
        const int free = std::max(0, streamCapacity(*view, 0) - running);
        spare += free;
        if (view->reclaimable) {
            atRisk[view->failureDomain] += running;
            spareInDomain[view->failureDomain] += free;
        }
    }
    std::map<std::string_view, bool> headroom;
    for (const auto &[domain, running] : atRisk) {
        headroom[domain] = running < spare - spareInDomain[domain];
    }
    return headroom;
}

/// The option with the lowest cost; options within `equalCostMs` of it are spread by the seed.
option pickOption(std::vector<option> options, std::uint64_t seed)
{
    std::ranges::sort(options, [](const option &left, const option &right) {
        return std::tie(left.costMs, left.endpoint->id) < std::tie(right.costMs, right.endpoint->id);
    });
    const auto equal = std::ranges::count_if(options, [&](const option &item) {
        return item.costMs <= options.front().costMs + tunables::equalCostMs;
    });
    return options[seed % static_cast<std::uint64_t>(equal)];
}

std::vector<option> wholeOptions(const std::vector<const endpoint_view *> &eligible, const std::map<std::string, endpoint_cost> &costs, bool mixedOnly)
{
    std::vector<option> options;
    for (const auto *view : eligible) {
        if (!mixedOnly || view->role == endpoint_role::Mixed) {
            const auto &cost = costs.at(view->id);
            options.push_back(
                {.endpoint = view, .costMs = cost.prefillMs + cost.decodeMs + cost.placementMs, .firstTokenMs = cost.firstTokenMs, .queueMs = cost.queueMs});
        }
    }
    return options;
}

std::vector<option> optionsOfRole(const std::vector<const endpoint_view *> &eligible,
                                  const std::map<std::string, endpoint_cost> &costs,
                                  endpoint_role role,
                                  double endpoint_cost::*part)
{
    std::vector<option> options;
    for (const auto *view : eligible) {
        if (view->role == role) {
            const auto &cost = costs.at(view->id);
            options.push_back({.endpoint = view, .costMs = cost.*part + cost.placementMs, .firstTokenMs = cost.firstTokenMs, .queueMs = cost.queueMs});
        }
    }
    return options;
}

/// The best pair of a prefill and a decode endpoint. Their costs add up, so each is chosen on its own.
std::optional<option> bestPair(const std::vector<const endpoint_view *> &eligible, const std::map<std::string, endpoint_cost> &costs, const route_input &input)
{
    const auto prefill = optionsOfRole(eligible, costs, endpoint_role::Prefill, &endpoint_cost::prefillMs);
    const auto decode = optionsOfRole(eligible, costs, endpoint_role::Decode, &endpoint_cost::decodeMs);
    if (prefill.empty() || decode.empty()) {
        return std::nullopt;
    }
    const option first = pickOption(prefill, input.seed);
    option pair = pickOption(decode, input.seed >> 32U);
    pair.prefill = first.endpoint;
    pair.costMs += first.costMs + input.promptTokens / tunables::kvTransferTokensPerMs;
    pair.firstTokenMs = first.firstTokenMs;
    pair.queueMs = first.queueMs;
    return pair;
}

/// Adds the candidates that could have taken the request to the result, with their scores.
void listCandidates(const std::vector<option> &options, const option &chosen, route_result &result)
{
    for (const auto &item : options) {
        const bool isChosen = item.endpoint == chosen.endpoint || item.endpoint == chosen.prefill;
        result.candidates.push_back({.endpoint = item.endpoint->id, .costMs = item.costMs, .reason = isChosen ? "chosen" : "higher cost"});
    }
}

struct policy_visitor
{
    const route_input &input;
    const std::vector<const endpoint_view *> &eligible;
    route_result &result;

    option operator()(const cost_routing &policy) const
    {
        const auto headroom = domainHeadroom(eligible);
        std::map<std::string, endpoint_cost> costs;
        for (const auto *view : eligible) {
            const bool preferred = policy.preferReclaimable && view->reclaimable && headroom.at(view->failureDomain);
            costs[view->id] = predictCost(*view, input, policy, preferred);
        }
        const auto pair = input.kvTransfer && !input.suspect ? bestPair(eligible, costs, input) : std::nullopt;
        // With a pair at hand only mixed endpoints compete: a prompt on a decode endpoint would delay all of its streams.
        auto options = wholeOptions(eligible, costs, pair.has_value());
        if (pair) {
            options.push_back(*pair);
        }
        const option chosen = pickOption(options, input.seed);
        listCandidates(wholeOptions(eligible, costs, false), chosen, result);
        result.reason = chosen.prefill != nullptr ? "lowest predicted cost, as a pair" : "lowest predicted cost";
        return chosen;
    }

    option operator()(const round_robin_routing &policy) const
    {
        const auto take = [&](endpoint_role role) -> const endpoint_view * {
            std::vector<const endpoint_view *> fitting;
            std::ranges::copy_if(eligible, std::back_inserter(fitting), [&](const auto *view) {
                return view->role == role;
            });
            return fitting.empty() ? nullptr : fitting[policy.turn % fitting.size()];
        };
        result.reason = "next in turn";
        return baselineOption(take(endpoint_role::Prefill), take(endpoint_role::Decode), eligible[policy.turn % eligible.size()]);
    }

    option operator()(const least_load_routing &) const
    {
        const auto take = [&](std::optional<endpoint_role> role) -> const endpoint_view * {
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
        return baselineOption(take(endpoint_role::Prefill), take(endpoint_role::Decode), take(std::nullopt));
    }

    option baselineOption(const endpoint_view *prefill, const endpoint_view *decode, const endpoint_view *whole) const
    {
        const bool pair = input.kvTransfer && !input.suspect && prefill != nullptr && decode != nullptr;
        option chosen{.endpoint = pair ? decode : whole, .prefill = pair ? prefill : nullptr};
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
    const option chosen = std::visit(policy_visitor{input, eligible, result}, input.policy);
    result.endpoint = chosen.endpoint->id;
    result.prefillEndpoint = chosen.prefill != nullptr ? chosen.prefill->id : "";
    result.predictedFirstTokenMs = chosen.firstTokenMs;
    result.predictedQueueMs = chosen.queueMs;
    return result;
}

}
