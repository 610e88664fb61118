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

/// Limits of one organisation; 0 means unlimited.
struct organisation_limits
{
    double tokensPerSecond = 0; ///< Prompt plus output tokens.
    double burstTokens = 0;
    int concurrentRequests = 0;
};

struct organisation
{
    double weight = 1;
    organisation_limits limits;
};

struct api_key
{
    std::string organisation;
    std::string salt; ///< Hex.
    std::string hash; ///< SHA-256 of salt and key, hex.
    bool withdrawn = false;
    int concurrentRequests = 0; ///< 0 means unlimited.
};

enum class route_kind {
    Model,
    Service
};

struct route
{
    route_kind kind = route_kind::Model;
    std::string pathPrefix; ///< Services only; model routes are reached through the OpenAI-compatible paths.
    std::vector<std::string> methods; ///< Empty means all.
    bool open = false; ///< No key is needed.
    bool repeatable = true;
    std::string group;
    std::string model; ///< Name in the request's `model` field.
    std::uint32_t deadlineMs = 60000;
};

struct endpoint_group
{
    route_kind kind = route_kind::Model;
    std::string model;
    int minEndpoints = 0;
    int maxEndpoints = 0;
    double cheapShare = 0; ///< Largest share of reclaimable endpoints, 0 to 1.
};

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
    bool reclaimable = false;
    bool checksFencing = true;
    double costPerHour = 1;
};

/// The numbered configuration document. Keys of the maps are identifiers of letters, digits, '-', '_' and '.'.
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

/// Parses and fully checks a document: unknown fields, wrong types, dangling references, impossible limits. The error names the path of the field.
absl::StatusOr<configuration> parseConfiguration(const nlohmann::json &document, std::uint64_t version);

/// The organisation of a key that is not withdrawn, found by constant-time comparison with the salted hashes.
struct key_match
{
    std::string keyId;
    std::string organisation;
};
std::optional<key_match> findKey(const configuration &config, std::string_view presentedKey);

}
