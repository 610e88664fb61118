#include "serving/address_answer.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double silentLimitMs = 1000; // Several heartbeats; callers try another address when one does not answer.
constexpr std::size_t enoughLocal = 2; // One daemon may fail while callers hold the answer.

}

std::vector<std::string> chooseAddresses(std::span<const daemon_view> daemons, std::string_view callerDomain, std::size_t limit)
{
    std::vector<const daemon_view *> serving;
    for (const auto &daemon : daemons) {
        if (daemon.serving && daemon.silentMs <= silentLimitMs) {
            serving.push_back(&daemon);
        }
    }
    const auto isLocal = [&](const daemon_view *daemon) {
        return daemon->failureDomain == callerDomain;
    };
    if (const auto local = static_cast<std::size_t>(std::ranges::count_if(serving, isLocal)); local >= enoughLocal) {
        std::erase_if(serving, [&](const daemon_view *daemon) {
            return !isLocal(daemon);
        });
    }
    // Larger daemons first, so that a long list is cut at the smallest.
    std::ranges::stable_sort(serving, [](const daemon_view *left, const daemon_view *right) {
        return left->capacity > right->capacity;
    });
    std::vector<std::string> out;
    for (const auto *daemon : serving) {
        if (out.size() < limit) {
            out.push_back(daemon->callerAddress);
        }
    }
    return out;
}

}
