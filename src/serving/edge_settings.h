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

/// Settings of one edge daemon. Addresses are IP:port; an empty one is not served.
struct edge_settings
{
    std::string id;
    std::string failureDomain;
    std::string callerAddress;
    std::string readyAddress;
    std::string addressesAddress; ///< Where callers ask for addresses.
    std::string peerAddress; ///< UDP, for summaries between daemons.
    std::string metricsAddress;
    std::string storeAddress;
    std::string ordersAddress;

    duration revokeBound = std::chrono::seconds(5); ///< A withdrawn key must not work for longer.
    duration drainBound = std::chrono::seconds(2); ///< A leaving endpoint gets nothing new after it.
    duration shutdownGrace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    duration usageWindow = std::chrono::seconds(5);
    duration usageDue = std::chrono::seconds(10); ///< After a window's end.
    duration addressLife = std::chrono::seconds(2); ///< How long callers may use an address answer.
    retry_limits retries;
    engine_model engines;
    double capacity = 1; ///< Of processor and link, for spreading callers.
    std::size_t maxConnections = 1500;
    bool reportsUsage = true;
    bool ordersEndpoints = true;
};

/// Parses the JSON settings of docs/OPERATIONS.md; the error names the field.
absl::StatusOr<edge_settings> parseEdgeSettings(std::string_view json);

}
