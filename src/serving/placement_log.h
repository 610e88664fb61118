#pragma once

#include "serving/placement.h"
#include "transport/line_log.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string_view>
#include <variant>

namespace lacewinglock
{

/// Rounds to a tenth, which the log keeps.
double toTenth(double value);
double toHundredth(double value);

/// Adds the whole input and the result of a decision to a log line.
void logPlacement(log_line &line, const generation_input &input, const generation_result &result);
void logPlacement(log_line &line, const service_input &input, const service_result &result);

/// The input of a logged decision; nothing for lines of other kinds, an error for a decision that can't be read.
using placement_record = std::variant<std::monostate, generation_input, service_input>;
absl::StatusOr<placement_record> parsePlacement(std::string_view line);

struct replay_counts
{
    int decisions = 0;
    int otherLines = 0;
};

/// Decides again from one logged line and compares. The error tells what differs.
absl::Status replayPlacement(std::string_view line, const engine_model &model, replay_counts &counts);

}
