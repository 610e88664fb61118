#pragma once

#include "serving/placement.h"
#include "transport/line_log.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string_view>
#include <variant>

namespace lacewinglock
{

/// Rounds to 0.1, the precision of most logged values.
double toTenth(double value);
/// Rounds to 0.01, the precision of logged ratios.
double toHundredth(double value);

/// Adds the complete input and the result of a placement decision to a log line.
void logPlacement(log_line &line, const generation_input &input, const generation_result &result);
void logPlacement(log_line &line, const service_input &input, const service_result &result);

/// The input of a logged decision; std::monostate for a line without one.
using placement_record = std::variant<std::monostate, generation_input, service_input>;
/// Parses one JSON log line. Returns InvalidArgument for a decision with missing or mistyped fields.
absl::StatusOr<placement_record> parsePlacement(std::string_view line);

/// Lines processed by replayPlacement().
struct replay_counts
{
    int decisions = 0;
    int otherLines = 0;
};

/// Repeats the decision of one log line (a placement, or a change of an endpoint's ejection) and compares the result with the logged one. Returns
/// FailedPrecondition, which names the request, the field and both values, if they differ, or InvalidArgument if the line can't be parsed. Lines without a
/// decision are only counted.
absl::Status replayPlacement(std::string_view line, const engine_model &model, replay_counts &counts);

}
