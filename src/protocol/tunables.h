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
constexpr auto leaseReadInterval = 1s; // A daemon without the lease watches the row this often.
constexpr auto leaseRankDelay = 300ms; // Per place in the rendezvous order, so that contenders rarely meet.

// Membership.
constexpr auto heartbeatInterval = 1s;
constexpr auto memberSilenceLimit = 10s;
constexpr auto instanceListInterval = 2s;
constexpr auto loadPollInterval = 1s;
constexpr auto rosterReadInterval = 1s;
constexpr auto rosterStepWait = 3500ms; // Freshness window plus one roster read: by then no daemon admits by an older roster.
constexpr auto candidateHeardLimit = 3s; // A daemon joins the roster only while its heartbeats arrive.
constexpr auto peerCallTimeout = 1s;
constexpr auto usageHoldTimeout = 300ms; // A request waits at most this long for a peer to hold its usage.

// Control.
constexpr auto controlTick = 100ms;
constexpr auto storeTimeout = 2s;
constexpr auto pollTimeout = 800ms; // Below the poll interval, so that a hanging endpoint is polled again on time.
constexpr int effectThreads = 8;
constexpr int pollThreads = 8;
constexpr auto drainGrace = 2s; // Callers and peers learn of the draining before requests are refused.

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
