#include "standin/topology.h"

#include "protocol/errors.h"

#include <fstream>

namespace lacewinglock
{

absl::StatusOr<nlohmann::json> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(absl::StatusCode::kNotFound, "read file", path, "can't open");
    }
    auto value = nlohmann::json::parse(file, nullptr, false);
    if (value.is_discarded()) {
        return makeError(absl::StatusCode::kInvalidArgument, "read file", path, "not valid JSON");
    }
    return value;
}

absl::StatusOr<nlohmann::json> topologyOfConfiguration(const nlohmann::json &endpoints, const nlohmann::json &groups, const nlohmann::json &rates)
{
    auto list = nlohmann::json::array();
    for (const auto &[id, settings] : endpoints.items()) {
        const std::string address = settings.at("address");
        const auto colon = address.rfind(':');
        const std::string group = settings.at("group");
        if (colon == std::string::npos || !groups.contains(group)) {
            return makeError(absl::StatusCode::kInvalidArgument, "read endpoints", id, "needs an address IP:port and a known group");
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
