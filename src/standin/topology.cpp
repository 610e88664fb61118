#include "standin/topology.h"

#include "protocol/errors.h"

namespace lacewinglock
{

absl::StatusOr<nlohmann::json> topologyFromConfiguration(const nlohmann::json &endpoints, const nlohmann::json &groups, const nlohmann::json &rates)
{
    auto list = nlohmann::json::array();
    for (const auto &[id, settings] : endpoints.items()) {
        const std::string address = settings.at("address");
        const auto colon = address.rfind(':');
        const std::string group = settings.at("group");
        if (colon == std::string::npos || !groups.contains(group)) {
            return makeError(absl::StatusCode::kInvalidArgument,
                             "read endpoints",
                             id,
                             "the address must have the form IP:port and the group must exist in the configuration");
        }
        auto entry = rates;
        entry.update(settings);
        entry["id"] = id;
        entry["host"] = address.substr(0, colon);
        entry["port"] = std::stoi(address.substr(colon + 1));
        entry["kind"] = groups.at(group).value("kind", "model");
        entry["model"] = groups.at(group).value("model", "");
        list.push_back(std::move(entry));
    }
    return nlohmann::json{{"endpoints", list}};
}

}
