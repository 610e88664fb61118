#pragma once

#include <absl/status/status.h>
#include <istream>
#include <ostream>
#include <string_view>

namespace lacewinglock
{

/// Recomputes every decision of a log from its recorded input and writes the number of decisions of each kind to `out`. Fails on the first line whose
/// result differs (kDataLoss) or that cannot be parsed (kInvalidArgument). Lines that are not decisions are skipped.
absl::Status replayLog(std::istream &log, std::ostream &out);

/// Prints the decisions of one request as readable text, in the order of the log. Fails with kNotFound when the log has none, and with kDataLoss when one
/// lacks a field.
absl::Status explainRequest(std::istream &log, std::string_view requestId, std::ostream &out);

}
