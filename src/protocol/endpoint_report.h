#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <string>

namespace lacewinglock
{

/// A load report of an endpoint, as sent in heartbeats.
struct endpoint_report
{
    std::string endpoint;
    bool reachable = true;
    bool leaving = false;
    endpoint_role role = endpoint_role::Mixed;
    bool changingRole = false;
    std::uint64_t orderRevision = 0; ///< Revision of the last order that the endpoint accepted.
    std::uint64_t orderEpoch = 0; ///< Lease epoch of that order.
    double queuedPromptTokens = 0;
    int runningStreams = 0;
    double freeKvTokens = 0;
    double prefillTokensPerSecond = 8000;
    double ageMs = 0; ///< Age when the report was sent.
};

}
