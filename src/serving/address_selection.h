#pragma once

#include "transport/core_time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// A daemon that may be listed in the answer to an address query.
struct daemon_candidate
{
    std::string id;
    std::string callerAddress;
    std::string failureDomain;
    bool serving = false; ///< Ready and not draining, according to its last summary.
    double capacity = 1; ///< Relative processor and network capacity.
};

/// Selects the addresses for a caller: at most `limit`, largest capacity first. The list is empty if no daemon is serving.
///
/// Callers pick among the addresses at random, so the list determines how the load is distributed, and an address that does not serve costs a
/// caller a connection attempt. While the caller's failure domain has enough serving daemons, only these are listed.
std::vector<std::string> chooseAddresses(std::span<const daemon_candidate> daemons, std::string_view callerDomain, std::size_t limit);

}
