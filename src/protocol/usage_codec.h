#pragma once

#include "protocol/usage_record.h"

#include <nlohmann/json_fwd.hpp>

namespace lacewinglock
{

/// Conversion to and from JSON. All fields are required; from_json throws nlohmann::json::exception when one is missing or has a wrong type.
void to_json(nlohmann::json &out, const usage_figures &value);
void from_json(const nlohmann::json &in, usage_figures &value);

}
