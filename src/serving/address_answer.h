#pragma once

#include "transport/core_time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// A daemon as the address answer sees it.
struct daemon_view
{
    std::string id;
    std::string callerAddress;
    std::string failureDomain;
    bool serving = false; ///< Ready and not draining, by its last message.
    double silentMs = 0; ///< Age of its last message.
    double capacity = 1; ///< Of processor and link, against the others.
};

/// Load it answers: callers spread over the given addresses at random, so the list decides who gets how much work, and an address that does
/// not serve costs a caller a connection attempt. Daemons of the caller's own failure domain come alone while there are enough of them.
std::vector<std::string> chooseAddresses(std::span<const daemon_view> daemons, std::string_view callerDomain, std::size_t limit);

}
