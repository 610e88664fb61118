#pragma once

#include "protocol/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// What the planner sees of the engines in one failure domain.
struct fleet_domain
{
    std::string name;
    double price = 1; ///< Of an ordinary engine, for a second.
    int ordinary = 0; ///< Running and not leaving.
    int reclaimable = 0;
    bool reclaimableAvailable = true; ///< None was refused or taken back lately.
};

struct fleet_input
{
    std::string service;
    double demandEngines = 0; ///< Engines' worth of work at the recent peak.
    double meanEngines = 0; ///< And on average.
    int minPerDomain = 1;
    int maxPerDomain = 1;
    bool hasReclaimable = false;
    std::vector<fleet_domain> domains;
};

struct fleet_target
{
    std::string domain;
    int ordinary = 0;
    int reclaimable = 0;
};

/// Number and kind of engines for each failure domain.
///
/// Load it answers: bursts that are over before an ordered engine has started, so the fleet is sized for the recent peak, with the cheaper kind
/// wherever the ordinary ones alone can carry the mean for the time in which lost ones are replaced.
std::vector<fleet_target> planFleet(const fleet_input &input);

/// What the role planner sees of one engine.
struct role_candidate_engine
{
    std::string id;
    std::string domain;
    endpoint_role role = endpoint_role::Mixed;
    int running = 0;
    bool available = true; ///< Not leaving, not changing its role.
};

struct engine_role_input
{
    double promptEngines = 0; ///< Reading work that only engines for prompts do well, in engines' worth.
    double outputEngines = 0; ///< The rest.
    double sinceLastChangeMs = 0;
    std::vector<role_candidate_engine> engines;
};

struct engine_role_change
{
    std::string id;
    endpoint_role role = endpoint_role::Mixed;
    std::string_view reason;
};

/// The next change of role, if one pays: an engine is out of service for seconds, so only a lasting imbalance counts.
std::optional<engine_role_change> planRole(const engine_role_input &input);

}
