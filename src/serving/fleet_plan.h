#pragma once

#include "protocol/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// The engines of a service in one failure domain, as input of planFleet().
struct fleet_domain
{
    std::string name;
    double price = 1; ///< Price of an ordinary engine per second.
    int ordinary = 0; ///< Running ordinary engines that are not draining.
    int reclaimable = 0; ///< Running reclaimable engines that are not draining.
    bool reclaimableAvailable = true; ///< False for a while after the platform refused or reclaimed engines here.
};

/// Input of planFleet() for one service.
struct fleet_input
{
    std::string service;
    double peakDemandEngines = 0; ///< Peak of the recent demand, in engines.
    double meanDemandEngines = 0; ///< Average of the recent demand, in engines.
    int minPerDomain = 1;
    int maxPerDomain = 1;
    bool hasReclaimable = false; ///< The service may use reclaimable engines, which cost less.
    std::vector<fleet_domain> domains;
};

/// Engine counts to order in one failure domain.
struct fleet_target
{
    std::string domain;
    int ordinary = 0;
    int reclaimable = 0;
};

/// Returns the number of ordinary and reclaimable engines for each failure domain, in the order of the input.
///
/// Bursts end before a newly ordered engine has started, so the fleet is sized for the recent peak. Reclaimable engines are used as far as the
/// ordinary ones can carry the load until reclaimed engines are replaced.
std::vector<fleet_target> planFleet(const fleet_input &input);

/// One engine, as input of planRole().
struct engine_role_candidate
{
    std::string id;
    std::string domain;
    endpoint_role role = endpoint_role::Mixed;
    int running = 0;
    bool available = true; ///< Accepts new requests and is not changing its role.
};

/// Input of planRole() for one service.
struct role_plan_input
{
    double prefillDemand = 0; ///< Work queued at the prefill engines. Only its ratio to decodeDemand counts, so any common unit will do.
    double decodeDemand = 0; ///< Work queued at the other engines, in the same unit.
    double sinceLastChangeMs = 0;
    std::vector<engine_role_candidate> engines;
};

/// Engine whose role is to change, and its new role.
struct role_change
{
    std::string id;
    endpoint_role role = endpoint_role::Mixed;
    std::string_view reason;
};

/// Returns the next role change, if one is worth it. The engine is out of service for seconds, so changes are spaced in time and need a deficit of
/// at least one engine.
std::optional<role_change> planRole(const role_plan_input &input);

}
