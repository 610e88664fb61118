#pragma once

#include "protocol/endpoint_report.h"
#include "protocol/peer.capnp.h"
#include "protocol/usage_record.h"
#include "state/demand_meter.h"
#include "state/drain_notice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewinglock
{

struct suspect_count
{
    std::string fingerprint;
    int crashes = 0;
};

struct group_demand
{
    std::string group;
    double weightedTokens = 0; ///< Weighted prompt and output tokens per second, over the short horizon.
    demand_rates rates;
};

/// The state that a daemon sends to each peer every second.
struct heartbeat
{
    std::uint64_t sequence = 0; ///< Increases within a connection.
    std::string sender; ///< Instance id.
    std::string address;
    std::string callerAddress;
    std::string failureDomain;
    std::uint64_t configVersion = 0;
    std::uint64_t rosterVersion = 0;
    bool draining = false;
    std::vector<endpoint_report> reports; ///< Reports of the endpoints that the sender polls.
    std::vector<suspect_count> suspects;
    std::vector<group_demand> demand;
    double load = 0; ///< Utilisation of the sender itself, from 0 (idle) to 1 (full).
    std::vector<std::string> drainingEndpoints; ///< Endpoints that get no new work because the sender is about to return them to the platform.
    drain_notice orders; ///< The newest drain notice that the sender holds.
};

/// The state of the receiver of a heartbeat.
struct heartbeat_reply
{
    std::uint64_t configVersion = 0;
    std::uint64_t rosterVersion = 0;
    bool draining = false;
    drain_notice orders; ///< The newest drain notice that the receiver of the heartbeat holds.
};

/// A configuration change: the version that results from it, and the JSON merge patch.
struct config_patch
{
    std::uint64_t version = 0;
    std::string mergePatch;
    bool whole = false; ///< `mergePatch` is the full document of the version, not a patch.
};

void write(rpc::Heartbeat::Builder target, const heartbeat &message);
heartbeat read(rpc::Heartbeat::Reader source);
void write(rpc::HeartbeatReply::Builder target, const heartbeat_reply &reply);
heartbeat_reply read(rpc::HeartbeatReply::Reader source);
void write(rpc::UsageRecord::Builder target, const usage_record &record);
usage_record read(rpc::UsageRecord::Reader source);

}
