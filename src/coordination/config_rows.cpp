#include "coordination/config_rows.h"

#include "protocol/errors.h"

namespace lacewinglock
{

namespace
{

using nlohmann::json;

absl::Status malformedRow(const std::string &key)
{
    return makeError(absl::StatusCode::kDataLoss, "read configuration", "table service", "row " + key + " is malformed");
}

}

std::string configPatchKey(std::uint64_t version)
{
    return "config/patch/" + std::to_string(version);
}

std::string formatConfigHead(std::uint64_t version, const std::string &nonce)
{
    return json({{"version", version}, {"nonce", nonce}}).dump();
}

absl::StatusOr<std::uint64_t> parseConfigHead(const std::string &value)
{
    const json head = json::parse(value, nullptr, false);
    if (!head.is_object() || !head.contains("version") || !head["version"].is_number_unsigned()) {
        return malformedRow(configHeadKey);
    }
    return head["version"].get<std::uint64_t>();
}

std::string formatConfigPatch(const config_patch_row &content)
{
    return json({{"patch", content.patch}, {"author", content.author}, {"nonce", content.nonce}}).dump();
}

absl::StatusOr<config_patch_row> parseConfigPatch(const std::string &key, const std::string &value)
{
    const json content = json::parse(value, nullptr, false);
    if (!content.is_object() || !content.value("patch", json()).is_object() || !content.value("nonce", json()).is_string()) {
        return malformedRow(key);
    }
    return config_patch_row{.patch = content["patch"], .author = content.value("author", ""), .nonce = content["nonce"]};
}

}
