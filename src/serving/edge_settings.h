#pragma once

#include "serving/placement.h"
#include "serving/retry_budget.h"
#include "transport/core_time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Settings of one edge daemon. Addresses are IP:port; nothing listens for an empty one.
struct edge_settings
{
    std::string id;
    std::string failureDomain;
    std::string callerAddress;
    std::string readyAddress;
    std::string addressesAddress; ///< Where callers query the addresses of daemons.
    std::string peerAddress; ///< UDP for summaries and TCP for relayed feeds, between daemons.
    std::string metricsAddress;
    std::string storeAddress;
    std::string ordersAddress;

    duration revokeBound = std::chrono::seconds(5); ///< Longest time that a revoked API key may still work.
    duration configurationBound = std::chrono::seconds(2); ///< Longest time until a new configuration must be in force.
    duration operatorRewriteTime = std::chrono::seconds(3); ///< How long the operator takes to write again what a restored store has lost.
    duration drainBound = std::chrono::seconds(2); ///< Longest time that a draining endpoint may still get new requests.
    duration shutdownGrace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    duration usageWindow = std::chrono::seconds(5);
    duration usageDue = std::chrono::seconds(10); ///< Time after the end of a window by which its usage must be reported.
    duration addressLifetime = std::chrono::seconds(2); ///< How long callers may use a list of addresses.
    retry_limits retries;
    engine_model engines;
    double capacity = 1; ///< Relative processor and link capacity, for distributing callers over daemons.
    std::size_t maxConnections = 1500;
    double memoryMb = 260; ///< Of the machine; the process ends if it uses more.
    bool reportsUsage = true; ///< Takes part in the duty of reporting usage.
    bool ordersEndpoints = true; ///< Takes part in the duty of ordering endpoints.
    double hedgeRatio = 0; ///< Highest share of extra requests for hedging, per service; 0: no hedging.
    bool hedgeEvenServices = false; ///< Hedges also for services whose endpoints report no uneven pace.
    bool ejectsEndpoints = true; ///< Sends no requests to endpoints that fail more often than the others of their service, for a while.
    duration quotaWindow = std::chrono::seconds(8); ///< How long the use of a quota is remembered.
    bool fairAdmission = false; ///< Orders requests by priority and fair share while a service can't serve all.
};

/// Parses the JSON settings described in docs/OPERATIONS.md. Returns InvalidArgument, with the name of the field, when one is missing, unknown or invalid.
absl::StatusOr<edge_settings> parseEdgeSettings(std::string_view json);

}
