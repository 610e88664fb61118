#include "serving/aggregators.h"

#include "state/rendezvous.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace lacewinglock
{

std::vector<std::string> rankAggregators(std::span<const exchange_member> members, std::string_view failureDomain)
{
    std::vector<const exchange_member *> candidates;
    for (const auto &member : members) {
        if (member.failureDomain == failureDomain) {
            candidates.push_back(&member);
        }
    }
    std::ranges::sort(candidates, std::greater(), [](const exchange_member *member) {
        return std::tuple(member->capacity, rendezvousWeight("aggregator", member->id), std::string_view(member->id));
    });
    std::vector<std::string> ranked;
    ranked.reserve(candidates.size());
    for (const auto *member : candidates) {
        ranked.push_back(member->id);
    }
    return ranked;
}

}
