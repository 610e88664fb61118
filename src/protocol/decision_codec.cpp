#include "protocol/decision_codec.h"

namespace lacewinglock
{

void to_json(nlohmann::json &json, const route_input &value)
{
    json = {{"requestId", value.requestId}, {"group", value.group}, {"remainingMs", value.remainingMs}};
}

void to_json(nlohmann::json &json, const route_result &value)
{
    json = {{"endpoint", value.endpoint}, {"reason", value.reason}};
}

void to_json(nlohmann::json &json, const admit_input &value)
{
    json = {{"requestId", value.requestId}, {"organisation", value.organisation}, {"remainingMs", value.remainingMs}};
}

void to_json(nlohmann::json &json, const admit_result &value)
{
    json = {{"verdict", static_cast<int>(value.verdict)}, {"reason", value.reason}, {"retryAfterMs", value.retryAfterMs}};
}

}
