#pragma once

#include "coordination/serving_context.h"
#include "coordination/session_runner.h"

#include <httplib.h>
#include <optional>
#include <string>
#include <variant>

namespace lacewinglock
{

/// Who sent a request, as far as its key tells.
struct caller_identity
{
    std::optional<key_match> match; ///< Nothing when no key came.
};

using identified_caller = std::variant<caller_identity, refuse_effect>;
using parsed_request = std::variant<routed_request, refuse_effect>;

/// A random id for one request or question of a caller.
std::string makeRequestId();

/// A refusal of a request that was not run.
refuse_effect makeRefusal(int status, std::string code, std::string message, double retryAfterMs = 0);

/// Checks the headers and finds the key's organisation. A key that is present must be right, also on open routes.
identified_caller identifyCaller(const httplib::Request &request, const configuration &config);

/// Checks and routes a completion (`chat` for the chat form).
parsed_request parseCompletion(const httplib::Request &request, const serving_context &context, bool chat);

/// Checks and routes a call of a plain service by path prefix and method.
parsed_request parseServiceCall(const httplib::Request &request, const serving_context &context);

}
