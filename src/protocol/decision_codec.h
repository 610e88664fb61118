#pragma once

#include "protocol/decisions.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lacewinglock
{

/// Encodes the input or result of a decision as JSON. Instantiated for the input and result types of protocol/decisions.h.
template <typename Value>
nlohmann::json encodeDecision(const Value &value);

/// Parses the JSON form. Missing fields take their defaults, so that logs written before a field was added can still be replayed. Fields of the wrong
/// type and unknown policies fail with kInvalidArgument.
template <typename Value>
absl::StatusOr<Value> parseDecision(const nlohmann::json &document);

/// Build decision log records; `id` identifies the decision.
decision_record recordRoute(const std::string &id, const route_input &input, const route_result &result);
decision_record recordAdmit(const std::string &id, const admit_input &input, const admit_result &result);
decision_record recordOrder(const std::string &id, const queue_order_input &input, const queue_order_result &result);
decision_record recordRole(const std::string &id, const role_input &input, const role_result &result);
decision_record recordProvision(const std::string &id, const provision_input &input, const provision_result &result);
decision_record recordAddress(const std::string &id, const address_input &input, const address_result &result);

}
