#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants that shape the behaviour of the system, with their units. The settings override those that operators may change.
namespace lacewinglock::tunables
{

using namespace std::chrono_literals;

// Leases.
constexpr auto leaseTerm = 6s;
constexpr auto leaseRenewInterval = 2s;
constexpr auto leaseDriftMargin = 500ms;
constexpr auto orderSendDeadline = 1s;
constexpr auto orderCallLimit = 1500ms; // An order has been answered or given up this long after it was permitted.
constexpr auto leaseReadInterval = 1s; // Interval at which a daemon without the lease reads the lease row.
constexpr auto leaseRankDelay = 300ms; // Extra wait per rank in the rendezvous order, so that contenders rarely collide.

// Membership.
constexpr auto heartbeatInterval = 1s;
constexpr auto memberTimeout = 10s;
constexpr auto instanceListInterval = 2s;
constexpr auto loadPollInterval = 1s;
constexpr auto pollerTimeout = 1500ms; // Longer than a heartbeat interval with its jitter; afterwards another member polls the endpoints.
constexpr auto rosterReadInterval = 1s;
constexpr auto peerHeartbeatTimeout = 3s; // A daemon may join the roster only while its heartbeats arrive.
constexpr auto peerCallTimeout = 1s;
constexpr auto usageHoldTimeout = 300ms; // Longest time that a request waits for a peer to hold its usage.

// Control.
constexpr auto controlTick = 100ms;
constexpr auto storeTimeout = 2s;
constexpr auto pollTimeout = 800ms; // Below the poll interval, so that an endpoint that hangs is polled again on time.
constexpr int effectThreads = 8;
constexpr int pollThreads = 8;
constexpr auto drainGrace = 2s; // Time in which callers and peers are notified of the draining before requests are refused.

// Configuration.
constexpr auto configPollInterval = 1s;
constexpr auto freshnessWindow = 2500ms;
constexpr std::uint32_t patchFetchLimit = 64;

// Requests.
constexpr auto firstTokenTarget = 740ms;
constexpr auto tokenGapTarget = 42ms;
constexpr auto defaultDeadline = 60s;
constexpr auto attemptIdleTimeout = 10s; // Longest time without data from an endpoint before the attempt counts as failed.
constexpr int maxAttempts = 4;
constexpr auto suspectRefusalTime = 10min;
constexpr std::size_t maxBodyBytes = 4U << 20U;
constexpr auto claimBatchDelay = 10ms;
constexpr auto endpointWaitTimeout = 2s; // Limits the wait of a request that has not started; started and suspect requests wait until their deadline.
constexpr auto routeValidity = 100ms; // A routing decision older than this is repeated before the request is sent.
constexpr auto claimRetention = 24h; // Callers may retry a completed request with its idempotency key for this long.
constexpr auto claimDeleteInterval = 500ms; // Shortest time between two delete operations of one daemon.
constexpr int claimDeletesPerSecond = 20; // Limit for all daemons of a cell together: a few percent of the several hundred writes the store can take.
constexpr int maxClaimTries = 3; // Limit for commits of a claim row whose effect is in doubt, and for writes of its outcome.

// Fleet.
constexpr auto shortDemandHorizon = 30s;
constexpr auto longDemandHorizon = 600s;
constexpr auto leavingNoticeLimit = 2s;
constexpr auto drainMarkLifetime = 5s; // An endpoint marked for release takes work again unless a heartbeat renews the mark within this time.
constexpr double minDemandShare = 0.25; // Fraction of an equal share that a daemon keeps without any demand, so that a new caller is served at once.

// Routing.
constexpr double mixedPrefillChunkTokens = 128; // Prompt tokens that a decoding engine computes per step; larger chunks alone exceed the token gap target.
constexpr double kvTransferTokensPerMs = 200; // Rate of the export, network transfer and import of the KV cache between two engines.
constexpr double latePenaltyFactor = 8; // Cost of a millisecond beyond a service target, in milliseconds within it.
constexpr double delayedStreamPenaltyFactor = 0.05; // Cost of delaying one running stream by a millisecond of prefill, in milliseconds.
constexpr double plannedTokenGapMs = 40; // 2 ms below the target, since daemons miss about ten streams that others sent since the last report.
constexpr double toleratedSlowStepFraction = 0.05; // The token gap target holds for 95% of the steps.
constexpr double equalCostToleranceMs = 6; // The seed spreads costs this close; otherwise all daemons with the same reports choose the same endpoint.
constexpr double reclaimableBonusMs = 40; // Cost reduction for repeatable work on a reclaimable endpoint.
constexpr double staleReportMs = 10000; // Age at which a report is of little use, since nine successive reports are missing.
constexpr double staleReportPenaltyMs = 300;
constexpr double kvShortagePenaltyMsPerToken = 1; // Wait for a token of KV memory: 20 streams of 500 tokens that end within 10 s free one each millisecond.
constexpr double reportHalfWeightAgeMs = 1000; // Age at which a reported queue and the queue inferred from own work have equal weight.
constexpr double evictionRiskPerSecond = 0.01; // Loss of confidence in a cached prefix per second of report age.

// Admission. An output token occupies an engine about three times as long as a prompt token.
constexpr double promptTokenWeight = 1;
constexpr double outputTokenWeight = 3;
constexpr double reservedShareFraction = 0.1; // Never used by organisations above their share, so that one returning to its share starts at once.
constexpr double minRetryAfterMs = 100;
constexpr double waitRetryAfterMs = 500;

constexpr double plannedCapacityFraction = 0.9; // Below 1, since reports of the streams that other daemons started arrive with a delay.
// Longer queues are held at the daemons, where fair queueing orders them; a smaller limit would leave engines idle between reports.
// The predicted queue misses what other daemons sent since the last report, so the limit is far below the first-token target.
constexpr double engineQueueLimitMs = 150;
constexpr double overShareQueueLimitMs = 50; // Leaves the remaining queue time to organisations within their share.
constexpr double lateQueueLimitMs = 30; // Requests that already missed the first-token target only use engines that are almost idle.

// Role planning.
constexpr double roleDemandHeadroom = 1.1; // Engines above 91% load miss the first-token target through queueing.
constexpr double mixedEfficiency = 0.4; // Capacity relative to disaggregated engines: within the token gap target about 30 streams instead of 110.
constexpr double breakEvenMargin = 1.5; // Demand estimates err by up to half over the short horizon.
constexpr auto minRoleChangeInterval = 90s; // Three short horizons, so that demand seen with a cold cache or during a change no longer counts.
constexpr int minEnginesPerRole = 1;

// Provisioning.
constexpr double provisionHeadroom = 1.1; // Covers demand growth until ordered endpoints are ready.
constexpr int maxProvisionSteps = 1000;
constexpr double releaseCostRatio = 2; // Reacquiring costs the price of the endpoint while it starts and the requests it misses.

// Addresses.
constexpr std::size_t addressSubsetSize = 3; // Daemons per organisation; with more, each daemon's prefix cache estimates cover fewer of its requests.
constexpr double daemonOverloadThreshold = 0.9;
constexpr auto addressLifetime = 5s; // Callers refresh their addresses at this interval, so a draining daemon loses its callers within it.

// Usage.
constexpr auto usageWindow = 60s;
constexpr auto usageGrace = 10s;
constexpr auto usageFlushInterval = 5s;

// Prefix index: prompts are hashed in blocks of this many bytes.
constexpr std::size_t prefixBlockBytes = 256;
constexpr double bytesPerToken = 4.0;

}
