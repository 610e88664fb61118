#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <string>

namespace lacewinglock
{

/// One load report of an endpoint, as it travels in heartbeats.
struct endpoint_report
{
    std::string endpoint;
    bool reachable = true;
    bool leaving = false;
    endpoint_role role = endpoint_role::Mixed;
    bool changingRole = false;
    std::uint64_t orderRevision = 0; ///< Last order the endpoint took.
    std::uint64_t orderEpoch = 0;
    double queuedPromptTokens = 0;
    int runningStreams = 0;
    double freeKvTokens = 0;
    double prefillTokensPerSecond = 8000;
    double ageMs = 0; ///< Age when it was sent on.
};

}
