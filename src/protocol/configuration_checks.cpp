#include "protocol/configuration_checks.h"

#include "protocol/addresses.h"
#include "protocol/json_schema.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace lacewinglock
{

namespace
{

/// Paths that the daemon handles itself.
constexpr std::array<std::string_view, 2> reservedPrefixes = {"/v1/", "/operator/"};

absl::Status invalidField(const char *section, const std::string &id, const char *field, const std::string &message)
{
    std::string pointer = std::string("/") + section + "/" + id;
    if (*field != '\0') {
        pointer.append("/").append(field);
    }
    return fieldError("check configuration", pointer, message);
}

std::string inQuotes(const std::string &text)
{
    return "\"" + text + "\"";
}

absl::Status checkOrganisations(const configuration &config)
{
    for (const auto &[id, entry] : config.organisations) {
        if (entry.limits.burstTokens > 0 && entry.limits.tokensPerSecond <= 0) {
            return invalidField("organisations", id, "limits/burst_tokens", "has no effect without tokens_per_second");
        }
    }
    return absl::OkStatus();
}

absl::Status checkKeys(const configuration &config)
{
    for (const auto &[id, key] : config.keys) {
        const auto owner = config.organisations.find(key.organisation);
        if (owner == config.organisations.end()) {
            return invalidField("keys", id, "organisation", "organisation " + inQuotes(key.organisation) + " is not declared");
        }
        if (const int limit = owner->second.limits.concurrentRequests; limit > 0 && key.concurrentRequests > limit) {
            return invalidField("keys", id, "concurrent_requests", "is over the organisation's limit of " + std::to_string(limit));
        }
    }
    return absl::OkStatus();
}

absl::Status checkRouteFields(const configuration &config, const std::string &id, const route &entry)
{
    const auto group = config.groups.find(entry.group);
    if (group == config.groups.end()) {
        return invalidField("routes", id, "group", "group " + inQuotes(entry.group) + " is not declared");
    }
    if (group->second.kind != entry.kind) {
        return invalidField("routes", id, "kind", "differs from the kind of group " + inQuotes(entry.group));
    }
    if (entry.kind == route_kind::Service) {
        if (entry.pathPrefix.empty()) {
            return invalidField("routes", id, "path_prefix", "is required for a service");
        }
        return entry.model.empty() ? absl::OkStatus() : invalidField("routes", id, "model", "is not allowed for a service");
    }
    if (!entry.pathPrefix.empty()) {
        return invalidField("routes", id, "path_prefix", "is not allowed for a model");
    }
    if (!entry.methods.empty()) {
        return invalidField("routes", id, "methods", "is not allowed for a model");
    }
    return entry.model == group->second.model ? absl::OkStatus()
                                              : invalidField("routes", id, "model", "differs from the model of group " + inQuotes(entry.group));
}

/// Non-repeatable requests never run on reclaimable endpoints, so a group with endpoints needs at least one that is not reclaimable.
absl::Status checkNonRepeatable(const configuration &config, const std::string &id, const route &entry)
{
    bool hasEndpoints = false;
    for (const auto &[endpointId, candidate] : config.endpoints) {
        if (candidate.group == entry.group) {
            hasEndpoints = true;
            if (!candidate.reclaimable) {
                return absl::OkStatus();
            }
        }
    }
    return hasEndpoints ? invalidField("routes", id, "repeatable", "group " + inQuotes(entry.group) + " has only reclaimable endpoints") : absl::OkStatus();
}

bool prefixesOverlap(std::string_view left, std::string_view right)
{
    return left.starts_with(right) || right.starts_with(left);
}

bool overlapsReservedPrefix(std::string_view prefix)
{
    return std::ranges::any_of(reservedPrefixes, [&](std::string_view reserved) {
        return prefixesOverlap(prefix, reserved);
    });
}

bool methodsOverlap(const route &left, const route &right)
{
    return left.methods.empty() || right.methods.empty() || std::ranges::find_first_of(left.methods, right.methods) != left.methods.end();
}

/// Routes overlap when one request could match both. Prefixes are compared as plain text, so that the result does not depend on how paths are
/// split into segments.
absl::Status checkRouteOverlaps(const configuration &config)
{
    std::map<std::string, std::string> routeOfModel;
    std::vector<std::pair<std::string, const route *>> services;
    for (const auto &[id, entry] : config.routes) {
        if (entry.kind == route_kind::Model) {
            if (const auto [other, added] = routeOfModel.emplace(entry.model, id); !added) {
                return invalidField("routes", id, "model", "is already served by route " + inQuotes(other->second));
            }
            continue;
        }
        if (overlapsReservedPrefix(entry.pathPrefix)) {
            return invalidField("routes", id, "path_prefix", "overlaps with a reserved path (/v1/, /operator/)");
        }
        for (const auto &[otherId, other] : services) {
            if (prefixesOverlap(entry.pathPrefix, other->pathPrefix) && methodsOverlap(entry, *other)) {
                return invalidField("routes", id, "path_prefix", "overlaps with route " + inQuotes(otherId));
            }
        }
        services.emplace_back(id, &entry);
    }
    return absl::OkStatus();
}

absl::Status checkRoutes(const configuration &config)
{
    for (const auto &[id, entry] : config.routes) {
        auto status = checkRouteFields(config, id, entry);
        if (status.ok() && !entry.repeatable) {
            status = checkNonRepeatable(config, id, entry);
        }
        if (!status.ok()) {
            return status;
        }
    }
    return checkRouteOverlaps(config);
}

absl::Status checkGroups(const configuration &config)
{
    std::map<std::string, int> declared;
    for (const auto &[id, entry] : config.endpoints) {
        ++declared[entry.group];
    }
    for (const auto &[id, group] : config.groups) {
        const int count = declared[id];
        if ((group.kind == route_kind::Model) == group.model.empty()) {
            return invalidField("groups", id, "model", group.model.empty() ? "is required for a model" : "is not allowed for a service");
        }
        if (group.minEndpoints > group.maxEndpoints) {
            return invalidField("groups", id, "min_endpoints", "is over max_endpoints " + std::to_string(group.maxEndpoints));
        }
        if (group.minEndpoints > count) {
            return invalidField("groups", id, "min_endpoints", "is over the " + std::to_string(count) + " endpoints declared");
        }
        if (count > group.maxEndpoints) {
            return invalidField("groups", id, "max_endpoints", "is under the " + std::to_string(count) + " endpoints declared");
        }
    }
    return absl::OkStatus();
}

absl::Status checkEndpoints(const configuration &config)
{
    const std::set<std::string> domains(config.failureDomains.begin(), config.failureDomains.end());
    std::map<std::string, std::string> endpointOfAddress;
    for (const auto &[id, entry] : config.endpoints) {
        if (!config.groups.contains(entry.group)) {
            return invalidField("endpoints", id, "group", "group " + inQuotes(entry.group) + " is not declared");
        }
        if (!domains.contains(entry.failureDomain)) {
            return invalidField("endpoints", id, "failure_domain", "failure domain " + inQuotes(entry.failureDomain) + " is not declared");
        }
        if (const auto address = parseSocketAddress(entry.address); !address.ok()) {
            return invalidField("endpoints", id, "address", std::string(address.status().message()));
        }
        if (const auto [other, added] = endpointOfAddress.emplace(entry.address, id); !added) {
            return invalidField("endpoints", id, "address", "is already used by endpoint " + inQuotes(other->second));
        }
    }
    return absl::OkStatus();
}

/// `configuration` does not contain the cells, so their references are checked in the document.
absl::Status checkCells(const configuration &config, const nlohmann::json &document)
{
    const auto cells = document.find("cells");
    if (cells == document.end()) {
        return absl::OkStatus();
    }
    for (const auto &[id, cell] : cells->items()) {
        for (const std::string domain : cell["failure_domains"]) {
            if (std::ranges::find(config.failureDomains, domain) == config.failureDomains.end()) {
                return invalidField("cells", id, "failure_domains", "failure domain " + inQuotes(domain) + " is not declared");
            }
        }
    }
    return absl::OkStatus();
}

}

absl::Status checkConfiguration(const configuration &config, const nlohmann::json &document)
{
    for (const auto check : {checkOrganisations, checkKeys, checkRoutes, checkEndpoints, checkGroups}) {
        if (auto status = check(config); !status.ok()) {
            return status;
        }
    }
    return checkCells(config, document);
}

}
