#pragma once

#include "coordination/admission_gate.h"
#include "coordination/claim_cleaner.h"
#include "coordination/decision_log.h"
#include "protocol/control.h"
#include "state/config_holder.h"
#include "state/demand_meter.h"
#include "state/endpoint_table.h"
#include "state/metrics.h"
#include "state/suspect_table.h"
#include "state/table_store.h"
#include "state/usage_ledger.h"
#include "transport/core_time.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Daemon state that the caller and operator interfaces use. All members are thread-safe and outlive the HTTP server.
struct serving_context
{
    std::string instanceId;
    std::string incarnation; ///< Unique per process start.
    std::string cell;
    std::string failureDomain;
    config_holder &config;
    endpoint_table &endpoints;
    suspect_table &suspects;
    usage_ledger &usage;
    table_store &store;
    decision_log &decisions;
    std::function<instant()> now;
    std::function<bool()> fresh; ///< The freshness gate: true while the configuration is recent enough to admit requests.
    std::function<bool()> draining;
    std::function<std::vector<instance_info>()> instances; ///< Live daemons of the cell, for GET /v1/addresses.
    std::function<double(const std::string &group)> demandShare; ///< This daemon's share of a group's capacity, 0 to 1.
    std::shared_ptr<demand_meter> demand = std::make_shared<demand_meter>();
    std::shared_ptr<std::atomic<int>> callerRequests = std::make_shared<std::atomic<int>>(0); ///< Caller requests in progress.
    std::shared_ptr<admission_gate> admissionGate = std::make_shared<admission_gate>();
    claim_cleaner *claimCleaner = nullptr; ///< Null if claim rows are never deleted.
    metrics *metricsRegistry = nullptr; ///< Null if metrics are disabled.
};

}
