#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Rate and concurrency limits of one organisation; 0 means unlimited.
struct organisation_limits
{
    double tokensPerSecond = 0; ///< Prompt plus output tokens.
    double burstTokens = 0; ///< Tokens that may be used at once above the rate; has no effect without a rate.
    int concurrentRequests = 0;
};

struct organisation
{
    double weight = 1; ///< Weight in the fair share between organisations.
    organisation_limits limits;
};

/// An API key as stored: only its salted hash is kept.
struct api_key
{
    std::string organisation;
    std::string salt; ///< Hex.
    std::string hash; ///< SHA-256 of salt and key, hex.
    bool withdrawn = false; ///< Revoked: requests with this key are rejected.
    int concurrentRequests = 0; ///< 0 means unlimited.
};

enum class route_kind {
    Model,
    Service
};

struct route
{
    route_kind kind = route_kind::Model;
    std::string pathPrefix; ///< Plain services only; requests for models use the OpenAI-compatible paths.
    std::vector<std::string> methods; ///< HTTP methods of a plain service; empty means all.
    bool open = false; ///< Requests need no API key.
    bool repeatable = true; ///< Requests may run more than once, so attempts with an unknown outcome are repeated.
    std::string group;
    std::string model; ///< Model name in the `model` field of requests; empty for a plain service.
    std::uint32_t deadlineMs = 60000;
};

struct endpoint_group
{
    route_kind kind = route_kind::Model;
    std::string model;
    int minEndpoints = 0;
    int maxEndpoints = 0;
    double cheapShare = 0; ///< Maximum fraction of reclaimable endpoints in the group, 0 to 1.
};

/// Which phases of inference an engine runs.
enum class endpoint_role {
    Mixed,
    Prefill,
    Decode
};

struct endpoint
{
    std::string group;
    std::string address; ///< IP:port.
    std::string failureDomain;
    bool reclaimable = false; ///< The platform may take the endpoint back at any time.
    bool checksFencing = true; ///< The endpoint rejects orders with an outdated fencing token.
    double costPerHour = 1;
};

/// A parsed version of the configuration document. The keys of the maps are identifiers of letters, digits, '-', '_' and '.'.
struct configuration
{
    std::uint64_t version = 0;
    std::map<std::string, organisation> organisations;
    std::map<std::string, api_key> keys;
    std::map<std::string, route> routes;
    std::map<std::string, endpoint_group> groups;
    std::map<std::string, endpoint> endpoints;
    std::vector<std::string> failureDomains;
};

/// Parses and validates a document. Unknown fields, wrong types, dangling references and contradictory limits give InvalidArgument; the message
/// contains the JSON pointer of the field.
absl::StatusOr<configuration> parseConfiguration(const nlohmann::json &document, std::uint64_t version);

/// The identifier and organisation of a valid API key.
struct key_match
{
    std::string keyId;
    std::string organisation;
};
/// Compares the key in constant time with the stored salted hash. Returns nothing when the key is unknown, wrong or withdrawn.
std::optional<key_match> findKey(const configuration &config, std::string_view presentedKey);

}
