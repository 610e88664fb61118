#pragma once

#include "coordination/config_editor.h"
#include "coordination/decision_ring.h"
#include "coordination/serving_context.h"

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace httplib
{
class Server;
}

namespace lacewinglock
{

/// Lease as reported by GET /operator/v1/status.
struct lease_status
{
    std::string duty;
    std::string holder; ///< Instance that holds the lease; empty when it is free.
    std::uint64_t epoch = 0;
    bool heldHere = false;
};

/// Dependencies of the operator interface. They must outlive the HTTP server, and all functions must be thread-safe.
struct operator_context
{
    serving_context &serving;
    config_editor &editor;
    decision_ring &recentDecisions;
    std::string operatorTokenHash; ///< SHA-256 hash in hex.
    /// Passes a stored patch to the configuration follower of this daemon and to all peers, without waiting for them.
    std::function<void(std::uint64_t version, const nlohmann::json &patch)> pushPatch;
    /// Returns whether a majority of the roster holds the configuration version.
    std::function<bool(std::uint64_t version)> heldByMajority;
    std::function<std::vector<std::string>()> roster;
    std::function<std::vector<lease_status>()> leases;
    /// Longest wait of a patch request for the majority. The design requires that a configuration is in force everywhere within 4 s.
    std::chrono::milliseconds majorityTimeout{4000};
};

/// Registers the HTTP routes under /operator/v1/.
void registerOperatorRoutes(httplib::Server &server, operator_context &context);

}
