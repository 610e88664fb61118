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

struct ranked_daemon
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

/// Marks the daemons with the highest scores as the subset. If they are all in one failure domain, the last place goes to the best daemon of
/// another domain.
void markSubset(std::vector<ranked_daemon> &daemons)
{
    const auto count = std::min(tunables::addressSubsetSize, daemons.size());
    for (std::size_t index = 0; index < count; ++index) {
        daemons[index].inSubset = true;
    }
    if (count < 2) {
        return;
    }
    const auto &domain = daemons.front().daemon->failureDomain;
    const auto otherDomain = std::ranges::find_if(daemons, [&](const ranked_daemon &item) {
        return item.daemon->failureDomain != domain;
    });
    if (otherDomain != daemons.end() && !otherDomain->inSubset) {
        daemons[count - 1].inSubset = false;
        otherDomain->inSubset = true;
    }
}

}

address_result decideAddresses(const address_input &input)
{
    std::vector<ranked_daemon> daemons;
    for (const auto &candidate : input.daemons) {
        daemons.push_back({.daemon = &candidate, .score = rendezvousScore(input.organisation, candidate.instanceId)});
    }
    // 1. Rendezvous order. Draining daemons come last, so that the subset contains as few of them as possible.
    std::ranges::sort(daemons, [](const ranked_daemon &left, const ranked_daemon &right) {
        return std::tuple(left.daemon->draining, ~left.score, left.daemon->instanceId)
            < std::tuple(right.daemon->draining, ~right.score, right.daemon->instanceId);
    });
    markSubset(daemons);
    // 2. Order of preference for this caller. The stable sort keeps the rendezvous order among equals.
    std::ranges::stable_sort(daemons, [&](const ranked_daemon &left, const ranked_daemon &right) {
        const auto key = [&](const ranked_daemon &item) {
            const bool loaded = item.daemon->load > tunables::daemonOverloadThreshold;
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
