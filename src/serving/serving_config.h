#pragma once

#include "transport/core_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// Rules for the requests of one host and path prefix.
struct serving_route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    bool stream = false; ///< The answer is a series of events.
    bool repeatable = false; ///< May run more than once.
    bool resumable = false; ///< A broken stream may go on at another endpoint.
    bool generation = false; ///< Requests name a model and the parts of their prompt.
    bool open = false; ///< Needs no key.
    int maxAttempts = 1; ///< Endpoints that one request may be sent to.
    int priority = 5; ///< 0 is the most urgent.
    duration timeout = std::chrono::seconds(30); ///< Longest time that a request may be kept waiting.
    duration target = std::chrono::seconds(1); ///< Time to the first byte (streams: first event) that callers want.
    duration gapTarget = std::chrono::milliseconds(500); ///< Longest pause between two events that callers want.
    std::vector<weighted_service> services;
};

/// Figures of the engines of a service.
struct engine_limits
{
    int slots = 1; ///< Requests that run at once.
    double kvTokens = 0; ///< Memory for prompts and outputs.
    double kvTokenBytes = 0;
    double linkMbps = 0; ///< Between engines.
    duration handleLife = std::chrono::seconds(5); ///< How long an engine keeps a prompt's memory for another engine.
    duration roleChange = std::chrono::seconds(3); ///< Out of service for a change of role.
};

/// Bounds and prices for ordering endpoints of a service.
struct scaling_limits
{
    int min = 1; ///< Per failure domain, both kinds together.
    int max = 1;
    duration boot = std::chrono::seconds(4);
    double reclaimablePrice = 1; ///< Of the price of an ordinary endpoint; 1 where there is no cheaper kind.
    std::map<std::string, double> domainPrices;
};

struct serving_service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 100; ///< Of each endpoint, from all callers together.
    std::optional<engine_limits> engine;
    std::optional<scaling_limits> scaling;
};

struct organisation_entry
{
    std::string name;
    int priority = -1; ///< Goes before the route's when set.
};

/// One version of the configuration, as the data path uses it. Immutable once built.
struct serving_configuration
{
    std::uint64_t version = 0;
    std::vector<serving_route> routes;
    std::map<std::string, serving_service, std::less<>> services;
    std::vector<organisation_entry> organisations;
    std::unordered_map<std::string, std::size_t> keys; ///< Index of the organisation that owns the key.
    bool needsKeys = false;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);

    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< Longest prefix first; filled by indexRoutes.
};

/// Fills routesByHost.
void indexRoutes(serving_configuration &configuration);

/// The route with the longest prefix of the path on that host (without port, any case), or null.
const serving_route *findRoute(const serving_configuration &configuration, std::string_view host, std::string_view path);

/// Picks one of the route's services by weight; `roll` is uniform in [0, 1).
std::string_view pickService(const serving_route &route, double roll);

}
