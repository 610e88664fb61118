#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// All constants that shape behaviour, with their units. Settings override the ones that operators may change.
namespace lacewinglock::tunables
{

using namespace std::chrono_literals;

// Leases.
constexpr auto leaseTerm = 6s;
constexpr auto leaseRenewInterval = 2s;
constexpr auto leaseDriftMargin = 500ms;
constexpr auto orderSendDeadline = 1s;

// Membership.
constexpr auto heartbeatInterval = 1s;
constexpr auto memberSilenceLimit = 10s;
constexpr auto instanceListInterval = 2s;
constexpr auto loadPollInterval = 1s;

// Configuration.
constexpr auto configPollInterval = 1s;
constexpr auto freshnessWindow = 2500ms;

// Requests.
constexpr auto firstTokenTarget = 740ms;
constexpr auto tokenGapTarget = 42ms;
constexpr auto defaultDeadline = 60s;
constexpr auto attemptIdleTimeout = 10s; // Longest silence of an endpoint before the attempt counts as failed.
constexpr int maxAttempts = 4;
constexpr auto suspectRefusalTime = 10min;
constexpr std::size_t maxBodyBytes = 4U << 20U;
constexpr auto claimBatchDelay = 10ms;
constexpr auto noEndpointWait = 2s; // A request that has not started waits this long for an endpoint; a started or suspect one until its deadline.
constexpr auto routeValidity = 100ms; // An older choice of an endpoint is made again before sending.
constexpr int maxClaimTries = 3; // Commits of a claim row whose effect is in doubt, and writes of its outcome.

// Fleet.
constexpr auto shortDemandHorizon = 30s;
constexpr auto longDemandHorizon = 600s;
constexpr auto leavingNoticeLimit = 2s;

// Usage.
constexpr auto usageWindow = 60s;
constexpr auto usageGrace = 10s;
constexpr auto usageFlushInterval = 2s;

// Prefix index: prompts are hashed in blocks of this many bytes.
constexpr std::size_t prefixBlockBytes = 256;
constexpr double bytesPerToken = 4.0;

}
