#pragma once

#include "coordination/serving_context.h"
#include "coordination/session_runner.h"

#include <httplib.h>
#include <optional>
#include <string>
#include <variant>

namespace lacewinglock
{

/// The identity that the API key of a request establishes.
struct caller_identity
{
    std::optional<key_match> match; ///< Empty when the request carries no key.
};

using identified_caller = std::variant<caller_identity, refuse_effect>;
using parsed_request = std::variant<routed_request, refuse_effect>;

/// Returns a random id for one request of a caller.
std::string makeRequestId();

/// Makes the refusal of a request that was not run. `retryAfterMs` is in milliseconds; 0 leaves it out of the headers.
refuse_effect makeRefusal(int status, std::string code, std::string message, double retryAfterMs = 0);

/// Checks the headers and finds the organisation of the API key. A key that is present must be valid, even on routes that need none.
identified_caller identifyCaller(const httplib::Request &request, const configuration &config);

/// Validates a completion request and finds its route. `chat` selects the chat form, with a list of messages instead of a prompt.
parsed_request parseCompletion(const httplib::Request &request, const serving_context &context, bool chat);

/// Validates a call of a plain service and finds its route by path prefix and method.
parsed_request parseServiceCall(const httplib::Request &request, const serving_context &context);

}
