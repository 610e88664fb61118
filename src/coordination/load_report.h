#pragma once

#include "coordination/load_generator.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Executions of the plain services by idempotency id, asked with GET /executions. The error names a service that didn't answer.
absl::StatusOr<std::map<std::string, int>> fetchExecutions(const std::vector<std::string> &servers);

/// Counts what became of the calls. With execution records it also finds bookings that ran twice and refusals whose `not_run` is false.
nlohmann::json
summariseLoad(const load_generator &generator, const std::vector<call_result> &results, const std::optional<std::map<std::string, int>> &executions);

/// Whether any caller got a wrong, cut or doubled answer or a false `not_run`.
bool hasBadAnswers(const nlohmann::json &summary);

/// The summary as a table for people.
std::string loadTable(const nlohmann::json &summary);

}
