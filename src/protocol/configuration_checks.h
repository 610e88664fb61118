#pragma once

#include "protocol/configuration.h"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>

namespace lacewinglock
{

/// Checks what a JSON schema cannot express: references, endpoint limits against the declared endpoints, overlapping routes, addresses. Returns
/// InvalidArgument with the JSON pointer of the first invalid field.
absl::Status checkConfiguration(const configuration &config, const nlohmann::json &document);

}
