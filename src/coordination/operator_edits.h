#pragma once

#include "coordination/operator_interface.h"

namespace lacewinglock
{

/// HTTP status and body of a response of the operator interface.
struct operator_response
{
    int status = 200;
    nlohmann::json body;
};

/// Creates an error response with a code and a message.
operator_response operatorError(int status, const std::string &code, const std::string &message);

/// Applies a patch, pushes it to the peers and waits up to `majorityTimeout` until a majority holds it.
operator_response handlePatch(operator_context &context, const config_edit &edit);

/// Creates a key and returns its text, which is not shown again. The body has the fields {organisation, id?, concurrent_requests?}.
operator_response handleKeyCreate(operator_context &context, const nlohmann::json &body, const std::string &author);

/// Marks a key as withdrawn.
operator_response handleKeyWithdraw(operator_context &context, const std::string &keyId, const std::string &author);

/// Reports whether a commit whose outcome was unknown was stored.
operator_response handlePatchStatus(operator_context &context, const std::string &nonce);

}
