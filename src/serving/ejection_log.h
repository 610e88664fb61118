#pragma once

#include "serving/endpoint_ejection.h"
#include "transport/line_log.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string_view>

namespace lacewinglock
{

inline constexpr const char *ejectedEvent = "endpoint_ejected";
inline constexpr const char *restoredEvent = "endpoint_restored";

/// Adds the complete input of a decision on ejections and one change that it made to a log line.
void logEjection(log_line &line, const ejection_input &input, const ejection_change &change);

/// Parses the input of a logged change. Returns nullopt for a line of another event, and InvalidArgument for missing or mistyped fields.
std::optional<absl::StatusOr<ejection_input>> parseEjection(std::string_view line);

/// Repeats the decision of one log line. Returns FailedPrecondition if it does not contain the logged change, and nullopt for a line of another event.
std::optional<absl::Status> replayEjection(std::string_view line);

}
