#include "protocol/usage_codec.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

void to_json(nlohmann::json &out, const usage_figures &value)
{
    out = {
        {"requests", value.requests},
        {"prompt_tokens", value.promptTokens},
        {"cached_tokens", value.cachedTokens},
        {"output_tokens", value.outputTokens},
        {"service_calls", value.serviceCalls},
    };
}

void from_json(const nlohmann::json &in, usage_figures &value)
{
    in.at("requests").get_to(value.requests);
    in.at("prompt_tokens").get_to(value.promptTokens);
    in.at("cached_tokens").get_to(value.cachedTokens);
    in.at("output_tokens").get_to(value.outputTokens);
    in.at("service_calls").get_to(value.serviceCalls);
}

usage_figures &usage_figures::operator+=(const usage_figures &other)
{
    requests += other.requests;
    promptTokens += other.promptTokens;
    cachedTokens += other.cachedTokens;
    outputTokens += other.outputTokens;
    serviceCalls += other.serviceCalls;
    return *this;
}

}
