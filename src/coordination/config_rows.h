#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

constexpr const char *configHeadKey = "config/head";

/// Row `config/patch/N`: the merge patch that leads from version N - 1 to N. The patch of version 1 applies to an empty object.
struct config_patch_row
{
    nlohmann::json patch;
    std::string author;
    std::string nonce;
};

std::string configPatchKey(std::uint64_t version);
std::string formatConfigHead(std::uint64_t version, const std::string &nonce);
absl::StatusOr<std::uint64_t> parseConfigHead(const std::string &value);
std::string formatConfigPatch(const config_patch_row &content);
absl::StatusOr<config_patch_row> parseConfigPatch(const std::string &key, const std::string &value);

}
