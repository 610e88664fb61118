#pragma once

#include "serving/quota.h"
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

/// A route: how requests for one host and path prefix are served.
struct serving_route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    bool stream = false; ///< The response is a stream of events (text/event-stream).
    bool repeatable = false; ///< The call may safely run more than once.
    bool resumable = false; ///< A broken stream may be continued at another endpoint.
    bool generation = false; ///< LLM generation: requests name a model and the prefix blocks of their prompt.
    bool authExempt = false; ///< Requests need no API key.
    int maxAttempts = 1; ///< Highest number of endpoints that one request is sent to.
    int priority = 5; ///< 0 is the most urgent.
    duration timeout = std::chrono::seconds(30); ///< Upper bound of the time that a request may take.
    duration target = std::chrono::seconds(1); ///< Latency target: time to the first byte, or to the first event of a stream.
    duration eventGapTarget = std::chrono::milliseconds(500); ///< Target for the longest pause between two events of a stream.
    std::vector<weighted_service> services;
};

/// Capacity and timing of the engines of a service.
struct engine_limits
{
    int slots = 1; ///< Requests that one engine runs at the same time.
    double kvTokens = 0; ///< Size of the KV cache, in tokens of prompts and outputs.
    double kvTokenBytes = 0; ///< Bytes of KV cache per token.
    double linkMbps = 0; ///< Bandwidth between two engines, in megabits per second.
    duration kvHandleTtl = std::chrono::seconds(5); ///< How long a prefill engine keeps the KV cache behind a KV handle for the decode engine.
    duration roleChangeTime = std::chrono::seconds(3); ///< Time that an engine is out of service while it changes its role.
};

/// Bounds and prices for scaling a service.
struct scaling_limits
{
    int min = 1; ///< Fewest endpoints per failure domain, ordinary and reclaimable together.
    int max = 1; ///< Most endpoints per failure domain, ordinary and reclaimable together.
    duration bootTime = std::chrono::seconds(4); ///< Time that a new endpoint needs before it is ready.
    double reclaimablePriceRatio = 1; ///< Price of a reclaimable endpoint relative to an ordinary one; 1 when there are no cheaper reclaimable endpoints.
    std::map<std::string, double> domainPrices; ///< Relative price by failure domain; 1 for a domain that is not listed.
};

struct serving_service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 100; ///< Per endpoint, for the connections of all its clients together.
    std::optional<engine_limits> engine;
    std::optional<scaling_limits> scaling;
};

struct organisation_entry
{
    std::string name;
    int priority = -1; ///< Overrides the route's priority unless it is negative.
    std::optional<quota_limits> quota = std::nullopt; ///< Nothing: no limit.
};

/// One version of the configuration as the data path uses it. Not modified after it is built.
struct serving_configuration
{
    std::uint64_t version = 0;
    std::vector<serving_route> routes;
    std::map<std::string, serving_service, std::less<>> services;
    std::vector<organisation_entry> organisations;
    std::unordered_map<std::string, std::size_t> keys; ///< Maps an API key to the index of its organisation.
    bool needsKeys = false; ///< Routes require an API key unless they are exempt.
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);

    /// Indices of routes by lower-case host, longest path prefix first. Filled by indexRoutes().
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost;
};

/// Fills `routesByHost` from `routes`.
void indexRoutes(serving_configuration &configuration);

/// Returns the route of `host` with the longest prefix of `path`, or nullptr. The port and the case of `host` are ignored.
const serving_route *findRoute(const serving_configuration &configuration, std::string_view host, std::string_view path);

/// Picks one of the route's services in proportion to its weight. `uniform` is a uniform random number in [0, 1).
std::string_view pickService(const serving_route &route, double uniform);

}
