#pragma once

#include <absl/status/status.h>
#include <istream>
#include <ostream>
#include <string_view>

namespace lacewinglock
{

/// Runs every decision of a log again and fails on the first line whose result differs, or that cannot be read. Writes a summary.
absl::Status replayLog(std::istream &log, std::ostream &out);

/// Prints the decisions of one request for a person, in the order of the log.
absl::Status explainRequest(std::istream &log, std::string_view requestId, std::ostream &out);

}
