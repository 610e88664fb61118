#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Key of the row that holds the current version and the nonce of the commit that wrote it.
constexpr const char *configHeadKey = "config/head";

/// Content of row `config/patch/N`: the merge patch (RFC 7396) from version N - 1 to version N. The patch of version 1 applies to an empty
/// object.
struct config_patch_row
{
    nlohmann::json patch;
    std::string author;
    std::string nonce; ///< Identifies the commit, so that its outcome can be found after a lost answer.
};

std::string configPatchKey(std::uint64_t version);
std::string formatConfigHead(std::uint64_t version, const std::string &nonce);
/// Returns the version in the head row, or DataLoss when the row is malformed.
absl::StatusOr<std::uint64_t> parseConfigHead(const std::string &value);
std::string formatConfigPatch(const config_patch_row &content);
/// Returns DataLoss with the key when the row is malformed.
absl::StatusOr<config_patch_row> parseConfigPatch(const std::string &key, const std::string &value);

}
