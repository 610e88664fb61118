#pragma once

#include "coordination/load_generator.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Fetches the number of executions per booking from the plain services (GET /executions) and adds them up. Fails with kUnavailable, naming the
/// server, when one of them returns no JSON object.
absl::StatusOr<std::map<std::string, int>> fetchExecutions(const std::vector<std::string> &servers);

/// Counts the outcomes of the calls and computes latency percentiles. With execution records it also counts bookings that ran twice, bookings that were
/// confirmed and never ran, and refusals that state `not_run` although the booking ran.
nlohmann::json
summariseLoad(const load_generator &generator, const std::vector<call_result> &results, const std::optional<std::map<std::string, int>> &executions);

/// Whether any caller got a wrong, truncated or duplicated answer or a false `not_run`, or a booking ran twice or was confirmed without running.
bool hasIncorrectAnswers(const nlohmann::json &summary);

/// Formats the summary as a text table, one field per line.
std::string formatLoadSummary(const nlohmann::json &summary);

}
