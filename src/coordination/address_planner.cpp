#include "coordination/address_planner.h"

#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

struct ranked
{
    const address_candidate *daemon = nullptr;
    std::uint64_t score = 0;
    bool inSubset = false;
};

std::uint64_t rendezvousScore(const std::string &organisation, const std::string &instanceId)
{
    const std::string key = organisation + '/' + instanceId;
    return XXH64(key.data(), key.size(), 0);
}

/// Marks the subset: the highest scores, with the last place given to another failure domain when all are in one.
void markSubset(std::vector<ranked> &daemons)
{
    const auto count = std::min(tunables::addressSubset, daemons.size());
    for (std::size_t index = 0; index < count; ++index) {
        daemons[index].inSubset = true;
    }
    if (count < 2) {
        return;
    }
    const auto &domain = daemons.front().daemon->failureDomain;
    const auto elsewhere = std::ranges::find_if(daemons, [&](const ranked &item) {
        return item.daemon->failureDomain != domain;
    });
    if (elsewhere != daemons.end() && !elsewhere->inSubset) {
        daemons[count - 1].inSubset = false;
        elsewhere->inSubset = true;
    }
}

}

address_result decideAddresses(const address_input &input)
{
    std::vector<ranked> daemons;
    for (const auto &candidate : input.daemons) {
        daemons.push_back({.daemon = &candidate, .score = rendezvousScore(input.organisation, candidate.instanceId)});
    }
    // 1. Rendezvous order. Draining daemons come after all others, so that the subset holds as few of them as possible.
    std::ranges::sort(daemons, [](const ranked &left, const ranked &right) {
        return std::tuple(left.daemon->draining, ~left.score, left.daemon->instanceId)
            < std::tuple(right.daemon->draining, ~right.score, right.daemon->instanceId);
    });
    markSubset(daemons);
    // 2. Order for the caller.
    std::ranges::stable_sort(daemons, [&](const ranked &left, const ranked &right) {
        const auto key = [&](const ranked &item) {
            const bool loaded = item.daemon->load > tunables::overloadedDaemon;
            return std::tuple(item.daemon->draining, loaded, !item.inSubset, item.daemon->failureDomain != input.callerDomain);
        };
        return key(left) < key(right);
    });
    address_result result{.lifetimeMs = toMs(tunables::addressLifetime), .reason = "rendezvous subset, failure domain, load, draining"};
    for (const auto &item : daemons) {
        result.addresses.push_back(item.daemon->address);
    }
    return result;
}

}
