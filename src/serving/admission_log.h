#pragma once

#include "serving/request_admission.h"
#include "transport/line_log.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string_view>

namespace lacewinglock
{

/// Event name of the log lines with admission decisions.
inline constexpr std::string_view admissionEvent = "admission";

/// Adds the complete input and the result of a decision to a log line.
void logAdmission(log_line &line, const admission_input &input, const admission_result &result);
/// Parses one JSON log line; nullopt for a line without an admission decision. Returns InvalidArgument for missing or mistyped fields.
absl::StatusOr<std::optional<admission_input>> parseAdmission(std::string_view line);
/// Repeats the decision of one log line. Returns whether the line has one; FailedPrecondition, which names the request and both results, if the results
/// differ, or InvalidArgument if the line can't be parsed.
absl::StatusOr<bool> replayAdmission(std::string_view line);

}
