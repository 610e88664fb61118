#pragma once

#include "protocol/usage_record.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Content of row `usage-writer/CELL/WRITER`: the records of one writer that are already part of a billed batch. The commit of a batch also
/// updates this row, on the condition that its version has not changed since it was read. So each record is billed once, whichever daemon
/// commits the batch.
struct usage_writer_row
{
    std::uint64_t sequence = 0; ///< Number of committed batches.
    std::map<std::uint64_t, std::uint64_t> billed; ///< Ranges of record numbers, first to last inclusive; neither overlapping nor adjacent.

    bool contains(std::uint64_t number) const;
    void add(std::uint64_t number);
};

std::string usageWriterKey(std::string_view cell, std::string_view writer);
std::string formatUsageWriter(const usage_writer_row &value);
/// Returns DataLoss when the row is malformed.
absl::StatusOr<usage_writer_row> parseUsageWriter(const std::string &text);

}
