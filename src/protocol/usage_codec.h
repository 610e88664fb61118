#pragma once

#include "protocol/usage_record.h"

#include <nlohmann/json_fwd.hpp>

namespace lacewinglock
{

void to_json(nlohmann::json &out, const usage_figures &value);
void from_json(const nlohmann::json &in, usage_figures &value);

}
