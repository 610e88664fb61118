#include "serving/address_selection.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr std::size_t minLocalDaemons = 2; // One daemon may fail while callers still use the list.

}

std::vector<std::string> chooseAddresses(std::span<const daemon_candidate> daemons, std::string_view callerDomain, std::size_t limit)
{
    std::vector<const daemon_candidate *> serving;
    for (const auto &daemon : daemons) {
        if (daemon.serving) {
            serving.push_back(&daemon);
        }
    }
    const auto isLocal = [&](const daemon_candidate *daemon) {
        return daemon->failureDomain == callerDomain;
    };
    if (const auto local = static_cast<std::size_t>(std::ranges::count_if(serving, isLocal)); local >= minLocalDaemons) {
        std::erase_if(serving, [&](const daemon_candidate *daemon) {
            return !isLocal(daemon);
        });
    }
    // Sorts by capacity, so that the limit cuts off the smallest daemons.
    std::ranges::stable_sort(serving, [](const daemon_candidate *left, const daemon_candidate *right) {
        return left->capacity > right->capacity;
    });
    std::vector<std::string> addresses;
    for (const auto *daemon : serving) {
        if (addresses.size() < limit) {
            addresses.push_back(daemon->callerAddress);
        }
    }
    return addresses;
}

}
