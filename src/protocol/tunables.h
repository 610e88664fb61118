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
constexpr auto pollerSilenceLimit = 1500ms; // Longer than a heartbeat interval with its jitter; then another member polls the endpoints.
constexpr auto rosterReadInterval = 1s;
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
constexpr std::uint32_t patchFetchLimit = 64;

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
constexpr auto claimKeepTime = 24h; // Callers may retry a completed request with its idempotency key for so long.
constexpr auto claimDeleteInterval = 500ms; // Least time between two deletes of one daemon.
constexpr int claimDeletesPerSecond = 20; // Of all daemons of a cell, a few percent of the store's several hundred writes.
constexpr int maxClaimTries = 3; // Commits of a claim row whose effect is in doubt, and writes of its outcome.

// Fleet.
constexpr auto shortDemandHorizon = 30s;
constexpr auto longDemandHorizon = 600s;
constexpr auto leavingNoticeLimit = 2s;
constexpr auto drainMarkTime = 5s; // Without a further heartbeat that names it, an endpoint that was to be given back takes work again.
constexpr double demandShareFloor = 0.25; // Part of an equal share that a daemon has without any demand, so that a new caller is served at once.

// Routing.
constexpr double mixedPrefillChunkTokens = 128; // Prompt tokens that a decoding engine computes per step; larger chunks alone exceed the token gap target.
constexpr double kvTransferTokensPerMs = 200; // Export, network and import of the KV cache between two engines.
constexpr double lateFactor = 8; // Cost of a millisecond beyond a service target, in milliseconds within it.
constexpr double delayedStreamFactor = 0.05; // Cost of delaying one running stream by a millisecond of prefill, in milliseconds.
constexpr double plannedTokenGapMs = 40; // 2 ms within the target: daemons miss about ten streams that others sent since the last report.
constexpr double toleratedSlowSteps = 0.05; // The token gap target holds for 95 in 100.
constexpr double equalCostMs = 6; // Costs this close are equal, and the seed spreads them; otherwise daemons with the same reports herd.
constexpr double reclaimableBonusMs = 40; // Cost that repeatable work saves on a reclaimable endpoint.
constexpr double staleReportMs = 10000; // A report this old says little: nine reports in a row are missing.
constexpr double staleReportPenaltyMs = 300;
constexpr double kvShortageMsPerToken = 1; // Wait for a token of KV memory: 20 streams of 500 tokens that end within 10 s free one each millisecond.
constexpr double reportHalfValueMs = 1000; // A queue reported this long ago and the queue inferred from own work count equally.
constexpr double evictionRiskPerSecond = 0.01; // Loss of confidence in a cached prefix per second of report age.

// Admission. An output token occupies an engine about three times as long as a prompt token.
constexpr double promptTokenWeight = 1;
constexpr double outputTokenWeight = 3;
constexpr double lendingReserve = 0.1; // Part of a group's share that is never lent, so that an organisation returning to its share starts at once.
constexpr double minRetryAfterMs = 100;
constexpr double waitRetryAfterMs = 500;

constexpr double groupFill = 0.9; // Part of the stream capacity that is planned with; daemons see each other's streams late.
// Longer queues stay at the daemons, where fairness orders them; shorter ones would leave engines idle between reports.
// The predicted queue misses what other daemons sent since the last report, so the limit is far below the first-token target.
constexpr double engineQueueLimitMs = 150;
constexpr double borrowerQueueLimitMs = 50; // An organisation above its share leaves the rest of the queue to the others.
constexpr double lateQueueLimitMs = 30; // Requests that are late already only fill engines that have nothing else to do.

// Role planning.
constexpr double roleDemandHeadroom = 1.1; // Engines above 91% load miss the first-token target through queueing.
constexpr double mixedEfficiency = 0.4; // Work of a mixed engine against separate ones: within the token gap target it runs about 30 streams instead of 110.
constexpr double breakEvenMargin = 1.5; // Demand estimates err by up to half over the short horizon.
constexpr auto roleChangeSpacing = 90s; // Three short horizons, so that demand measured with a cold cache or during a change has left it.
constexpr int minEnginesPerRole = 1;

// Provisioning.
constexpr double provisionHeadroom = 1.1; // Covers demand growth while an order is on its way.
constexpr int maxProvisionSteps = 1000;
constexpr double releaseCostRatio = 2; // Reacquiring pays for the endpoint while it starts and for the requests it misses.

// Addresses.
constexpr std::size_t addressSubset = 3; // Daemons per organisation; more would dilute its prefix cache estimates.
constexpr double overloadedDaemon = 0.9;
constexpr auto addressLifetime = 5s; // Callers ask again this often, so a draining daemon loses its callers within it.

// Usage.
constexpr auto usageWindow = 60s;
constexpr auto usageGrace = 10s;
constexpr auto usageFlushInterval = 5s;

// Prefix index: prompts are hashed in blocks of this many bytes.
constexpr std::size_t prefixBlockBytes = 256;
constexpr double bytesPerToken = 4.0;

}
