#pragma once

#include "coordination/operator_interface.h"

namespace lacewinglock
{

/// Status and body of an answer of the operator interface.
struct operator_answer
{
    int status = 200;
    nlohmann::json body;
};

operator_answer operatorError(int status, const std::string &code, const std::string &message);

/// Applies a patch, pushes it and waits a bounded time until it is in force.
operator_answer answerPatch(operator_context &context, const config_edit &edit);

/// Creates a key and answers its text, the only time it is shown. `body`: {organisation, id?, concurrent_requests?}.
operator_answer answerKeyCreate(operator_context &context, const nlohmann::json &body, const std::string &author);

operator_answer answerKeyWithdraw(operator_context &context, const std::string &keyId, const std::string &author);

/// Says what became of a commit whose outcome was unknown.
operator_answer answerLookUp(operator_context &context, const std::string &nonce);

}
