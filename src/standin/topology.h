#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Converts the `endpoints` and `groups` maps of a configuration document to a topology {endpoints:[...]}. The fields of `rates` are the
/// defaults of every endpoint. Returns kInvalidArgument for an endpoint without a valid address or with an unknown group; a missing field or
/// an address whose port is not a number throws.
absl::StatusOr<nlohmann::json> topologyFromConfiguration(const nlohmann::json &endpoints, const nlohmann::json &groups, const nlohmann::json &rates);

}
