#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Returns the JSON merge patch (RFC 7396) that turns `from` into `to`; an empty object when they are equal.
nlohmann::json createMergePatch(const nlohmann::json &from, const nlohmann::json &to);

/// Returns the JSON pointers of the fields that a merge patch sets or removes, in the order of the patch.
std::vector<std::string> changedPaths(const nlohmann::json &patch);

}
