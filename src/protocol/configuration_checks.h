#pragma once

#include "protocol/configuration.h"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>

namespace lacewinglock
{

/// Checks what a schema cannot: references, limits against the fleet, routes that shadow each other, addresses.
absl::Status checkConfiguration(const configuration &config, const nlohmann::json &document);

}
