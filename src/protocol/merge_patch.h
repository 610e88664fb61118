#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lacewinglock
{

/// The JSON merge patch (RFC 7396) that turns one document into another; an empty object when they are equal.
nlohmann::json mergePatchBetween(const nlohmann::json &from, const nlohmann::json &to);

/// JSON pointers of the fields that a merge patch sets or removes, in document order.
std::vector<std::string> changedPaths(const nlohmann::json &patch);

}
