#include "serving/fleet_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lacewinglock
{

namespace
{

constexpr double peakHeadroom = 1.5; // Queues grow without bound near full load, and a burst may exceed the recent peak.
constexpr double minOrdinaryFraction = 0.15; // Fraction of a domain's engines that remains after a reclaim until replacements have started.
constexpr int minPrefillEngines = 1;
constexpr int minDecodeEngines = 1;
constexpr double maxPrefillFraction = 0.6; // Of all engines of a service: decode needs slots and KV memory too, which the queued prefill does not show.
constexpr double minRoleChangeIntervalMs = 6000; // Twice the time for which a role change takes an engine out of service.
constexpr double minRoleDeficit = 1.0; // Engines that a role must lack before another engine is changed to it.

}

// Step 1: determine the total number of engines. Step 2: spread them evenly over the domains, the remainder to the cheapest ones.
// Step 3: divide each domain's engines into ordinary and reclaimable.
std::vector<fleet_target> planFleet(const fleet_input &input)
{
    const int domains = static_cast<int>(input.domains.size());
    if (domains == 0) {
        return {};
    }
    const int wanted = static_cast<int>(std::ceil(input.peakDemandEngines * peakHeadroom));
    const int total = std::clamp(wanted, domains * input.minPerDomain, domains * input.maxPerDomain);
    std::vector<std::size_t> byPrice(input.domains.size());
    std::iota(byPrice.begin(), byPrice.end(), std::size_t{0});
    std::ranges::stable_sort(byPrice, [&](std::size_t left, std::size_t right) {
        return input.domains[left].price < input.domains[right].price;
    });
    std::vector<fleet_target> targets(input.domains.size());
    for (std::size_t rank = 0; rank < byPrice.size(); ++rank) {
        const auto &domain = input.domains[byPrice[rank]];
        const int count = total / domains + (static_cast<int>(rank) < total % domains ? 1 : 0);
        auto &target = targets[byPrice[rank]];
        target.domain = domain.name;
        const int minOrdinary = std::min(count, std::max(1, static_cast<int>(std::ceil(count * minOrdinaryFraction))));
        if (input.hasReclaimable && domain.reclaimableAvailable) {
            target.ordinary = minOrdinary;
            target.reclaimable = count - minOrdinary;
        } else {
            // Ordinary engines carry the mean demand until reclaimable ones are available again.
            const int ordinaryForMean = std::min(static_cast<int>(std::ceil(input.meanDemandEngines * peakHeadroom / domains)), (count + 1) / 2);
            target.ordinary = input.hasReclaimable ? std::clamp(ordinaryForMean, minOrdinary, count) : count;
            // Reclaimable engines that still run are kept.
            target.reclaimable = std::min(domain.reclaimable, input.maxPerDomain - target.ordinary);
        }
    }
    return targets;
}

std::optional<role_change> planRole(const role_plan_input &input)
{
    int prefillEngines = 0;
    int decodeEngines = 0;
    for (const auto &engine : input.engines) {
        if (engine.role == endpoint_role::Prefill) {
            ++prefillEngines;
        } else {
            ++decodeEngines;
        }
    }
    const int total = prefillEngines + decodeEngines;
    if (total < minPrefillEngines + minDecodeEngines || input.sinceLastChangeMs < minRoleChangeIntervalMs) {
        return std::nullopt;
    }
    const double demand = input.prefillDemand + input.decodeDemand;
    const double prefillShare = demand > 0 ? input.prefillDemand / demand : 0;
    const double maxPrefillEngines = std::min(maxPrefillFraction * total, static_cast<double>(total - minDecodeEngines));
    const double wantedPrefillEngines
        = std::clamp(prefillShare * total, static_cast<double>(minPrefillEngines), std::max<double>(minPrefillEngines, maxPrefillEngines));
    const double deficit = wantedPrefillEngines - prefillEngines;
    if (std::abs(deficit) < minRoleDeficit) {
        return std::nullopt;
    }
    const auto from = deficit > 0 ? endpoint_role::Decode : endpoint_role::Prefill;
    const auto to = deficit > 0 ? endpoint_role::Prefill : endpoint_role::Decode;
    // Keeps the roles spread over the domains: picks the domain with most engines of the old role, and its engine with the fewest running requests.
    const auto sameRoleInDomain = [&](const engine_role_candidate &engine) {
        return std::ranges::count_if(input.engines, [&](const engine_role_candidate &other) {
            return other.domain == engine.domain && other.role == from;
        });
    };
    const engine_role_candidate *best = nullptr;
    for (const auto &engine : input.engines) {
        if (!engine.available || engine.role != from) {
            continue;
        }
        if (best == nullptr || std::pair(-sameRoleInDomain(engine), engine.running) < std::pair(-sameRoleInDomain(*best), best->running)) {
            best = &engine;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return role_change{best->id, to, deficit > 0 ? "prompts wait" : "outputs wait"};
}

}
