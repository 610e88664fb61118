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

/// A lease as `GET status` shows it.
struct lease_status
{
    std::string duty;
    std::string holder; ///< Empty when nobody holds it.
    std::uint64_t epoch = 0;
    bool heldHere = false;
};

/// What the operator interface needs beyond the serving context. It outlives the HTTP server; all functions are thread-safe.
struct operator_context
{
    serving_context &serving;
    config_editor &editor;
    decision_ring &recentDecisions;
    std::string operatorTokenHash; ///< SHA-256 in hex.
    /// Hands a stored patch to the follower of this daemon and to all peers, without waiting for them.
    std::function<void(std::uint64_t version, const nlohmann::json &patch)> pushPatch;
    std::function<bool(std::uint64_t version)> inForce;
    std::function<std::vector<std::string>()> roster;
    std::function<std::vector<lease_status>()> leases;
    /// How long an answer to a patch waits for "in force"; by design a configuration is in force everywhere within 4 s.
    std::chrono::milliseconds inForceWait{4000};
};

/// Adds the routes under /operator/v1/.
void registerOperatorRoutes(httplib::Server &server, operator_context &context);

}
