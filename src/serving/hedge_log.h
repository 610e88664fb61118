#pragma once

#include "serving/hedge.h"
#include "transport/line_log.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string_view>

namespace lacewinglock
{

/// Adds the complete input and the result of a hedge that is sent to a log line.
void logHedge(log_line &line, const hedge_input &input, const hedge_result &result);

/// The input of a logged hedge; nullopt for another line. Returns InvalidArgument for a hedge with missing or mistyped fields.
absl::StatusOr<std::optional<hedge_input>> parseHedge(std::string_view line);

/// Repeats the decision of a logged hedge. Returns FailedPrecondition if it differs, or InvalidArgument if the line can't be parsed. Other lines are
/// skipped.
absl::Status replayHedge(std::string_view line);

}
