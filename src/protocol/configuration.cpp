#include "protocol/configuration.h"

#include "protocol/configuration_checks.h"
#include "protocol/configuration_schema.h"
#include "protocol/json_schema.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

/// Reads an optional field; the schema has already checked its type.
template <typename T>
void readField(const json &source, const char *name, T &target)
{
    if (const auto found = source.find(name); found != source.end()) {
        found->get_to(target);
    }
}

void readField(const json &source, const char *name, route_kind &target)
{
    target = source.at(name) == "service" ? route_kind::Service : route_kind::Model;
}

organisation readOrganisation(const json &source)
{
    organisation result;
    readField(source, "weight", result.weight);
    if (const auto limits = source.find("limits"); limits != source.end()) {
        readField(*limits, "tokens_per_second", result.limits.tokensPerSecond);
        readField(*limits, "burst_tokens", result.limits.burstTokens);
        readField(*limits, "concurrent_requests", result.limits.concurrentRequests);
    }
    return result;
}

api_key readKey(const json &source)
{
    api_key result;
    readField(source, "organisation", result.organisation);
    readField(source, "salt", result.salt);
    readField(source, "hash", result.hash);
    readField(source, "withdrawn", result.withdrawn);
    readField(source, "concurrent_requests", result.concurrentRequests);
    return result;
}

route readRoute(const json &source)
{
    route result;
    readField(source, "kind", result.kind);
    readField(source, "path_prefix", result.pathPrefix);
    readField(source, "methods", result.methods);
    readField(source, "open", result.open);
    readField(source, "repeatable", result.repeatable);
    readField(source, "group", result.group);
    readField(source, "model", result.model);
    readField(source, "deadline_ms", result.deadlineMs);
    return result;
}

endpoint_group readGroup(const json &source)
{
    endpoint_group result;
    readField(source, "kind", result.kind);
    readField(source, "model", result.model);
    readField(source, "min_endpoints", result.minEndpoints);
    readField(source, "max_endpoints", result.maxEndpoints);
    readField(source, "cheap_share", result.cheapShare);
    return result;
}

endpoint readEndpoint(const json &source)
{
    endpoint result;
    readField(source, "group", result.group);
    readField(source, "address", result.address);
    readField(source, "failure_domain", result.failureDomain);
    readField(source, "reclaimable", result.reclaimable);
    readField(source, "checks_fencing", result.checksFencing);
    readField(source, "cost_per_hour", result.costPerHour);
    return result;
}

template <typename T>
void readSection(const json &document, const char *name, std::map<std::string, T> &target, T (*readEntry)(const json &))
{
    if (const auto section = document.find(name); section != document.end()) {
        for (const auto &[id, entry] : section->items()) {
            target.emplace_hint(target.end(), id, readEntry(entry));
        }
    }
}

/// The maximum of a group without `max_endpoints` is the number of its declared endpoints.
void fillGroupMaximum(configuration &config, const json &document)
{
    for (const auto &[id, declared] : config.endpoints) {
        if (const auto group = config.groups.find(declared.group); group != config.groups.end()) {
            group->second.maxEndpoints += document["groups"][declared.group].contains("max_endpoints") ? 0 : 1;
        }
    }
}

}

absl::StatusOr<configuration> parseConfiguration(const json &document, std::uint64_t version)
{
    static const json_schema schema(configurationSchema);
    if (auto status = schema.check(document, "check configuration"); !status.ok()) {
        return status;
    }
    configuration result{.version = version};
    readSection(document, "organisations", result.organisations, readOrganisation);
    readSection(document, "keys", result.keys, readKey);
    readSection(document, "routes", result.routes, readRoute);
    readSection(document, "groups", result.groups, readGroup);
    readSection(document, "endpoints", result.endpoints, readEndpoint);
    readField(document, "failure_domains", result.failureDomains);
    fillGroupMaximum(result, document);
    if (auto status = checkConfiguration(result, document); !status.ok()) {
        return status;
    }
    return result;
}

}
