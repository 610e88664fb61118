#pragma once

#include "protocol/decisions.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

void to_json(nlohmann::json &json, const route_input &value);
void to_json(nlohmann::json &json, const route_result &value);
void to_json(nlohmann::json &json, const admit_input &value);
void to_json(nlohmann::json &json, const admit_result &value);

}
