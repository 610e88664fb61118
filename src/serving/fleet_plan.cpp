#include "serving/fleet_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lacewinglock
{

namespace
{

constexpr double peakHeadroom = 1.5; // Queues grow without bound near full load; bursts above the recent peak come too.
constexpr double ordinaryPart = 0.15; // Of the engines of a domain at least: a reclaim leaves so many until others start.
constexpr int minPromptEngines = 1;
constexpr int minOutputEngines = 1;
constexpr double maxPromptPart = 0.6; // Outputs need slots and memory too, which the waiting reading does not show.
constexpr double roleSpacingMs = 6000; // Twice the time that a change takes an engine out of service.
constexpr double roleMargin = 1.0; // Engines that one kind must lack before another engine is turned.

}

// Step 1: the number of engines. Step 2: an even spread, the rest to the cheapest domains. Step 3: the kinds.
std::vector<fleet_target> planFleet(const fleet_input &input)
{
    const int domains = static_cast<int>(input.domains.size());
    if (domains == 0) {
        return {};
    }
    const int wanted = static_cast<int>(std::ceil(input.demandEngines * peakHeadroom));
    const int total = std::clamp(wanted, domains * input.minPerDomain, domains * input.maxPerDomain);
    std::vector<std::size_t> byPrice(input.domains.size());
    std::iota(byPrice.begin(), byPrice.end(), std::size_t{0});
    std::ranges::stable_sort(byPrice, [&](std::size_t left, std::size_t right) {
        return input.domains[left].price < input.domains[right].price;
    });
    std::vector<fleet_target> out(input.domains.size());
    for (std::size_t place = 0; place < byPrice.size(); ++place) {
        const auto &domain = input.domains[byPrice[place]];
        const int count = total / domains + (static_cast<int>(place) < total % domains ? 1 : 0);
        auto &target = out[byPrice[place]];
        target.domain = domain.name;
        const int base = std::min(count, std::max(1, static_cast<int>(std::ceil(count * ordinaryPart))));
        if (input.hasReclaimable && domain.reclaimableAvailable) {
            target.ordinary = base;
            target.reclaimable = count - base;
        } else {
            // The mean is carried by ordinary ones until the cheaper kind can be had again.
            const int mean = std::min(static_cast<int>(std::ceil(input.meanEngines * peakHeadroom / domains)), (count + 1) / 2);
            target.ordinary = input.hasReclaimable ? std::clamp(mean, base, count) : count;
            // What still runs of the cheaper kind stays.
            target.reclaimable = std::min(domain.reclaimable, input.maxPerDomain - target.ordinary);
        }
    }
    return out;
}

std::optional<engine_role_change> planRole(const engine_role_input &input)
{
    int prompts = 0;
    int outputs = 0;
    for (const auto &engine : input.engines) {
        if (engine.role == endpoint_role::Prefill) {
            ++prompts;
        } else {
            ++outputs;
        }
    }
    const int total = prompts + outputs;
    if (total < minPromptEngines + minOutputEngines || input.sinceLastChangeMs < roleSpacingMs) {
        return std::nullopt;
    }
    const double demand = input.promptEngines + input.outputEngines;
    const double share = demand > 0 ? input.promptEngines / demand : 0;
    const double most = std::min(maxPromptPart * total, static_cast<double>(total - minOutputEngines));
    const double wantedPrompts = std::clamp(share * total, static_cast<double>(minPromptEngines), std::max<double>(minPromptEngines, most));
    const double lacking = wantedPrompts - prompts;
    if (std::abs(lacking) < roleMargin) {
        return std::nullopt;
    }
    const auto from = lacking > 0 ? endpoint_role::Decode : endpoint_role::Prefill;
    const auto to = lacking > 0 ? endpoint_role::Prefill : endpoint_role::Decode;
    // Spread over the domains: turn an engine where most of its kind are, the least busy of them.
    const auto sameKind = [&](const role_candidate_engine &engine) {
        return std::ranges::count_if(input.engines, [&](const role_candidate_engine &other) {
            return other.domain == engine.domain && other.role == from;
        });
    };
    const role_candidate_engine *best = nullptr;
    for (const auto &engine : input.engines) {
        if (!engine.available || engine.role != from) {
            continue;
        }
        if (best == nullptr || std::pair(-sameKind(engine), engine.running) < std::pair(-sameKind(*best), best->running)) {
            best = &engine;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return engine_role_change{best->id, to, lacking > 0 ? "prompts wait" : "outputs wait"};
}

}
