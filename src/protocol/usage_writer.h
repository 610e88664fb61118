#pragma once

#include "protocol/usage_record.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Row `usage-writer/CELL/WRITER`: which records of a writer are in a batch. Every batch with records of the writer, whoever writes it,
/// changes this row in the same commit on condition of the version that was read, so each record is billed once.
struct usage_writer_row
{
    std::uint64_t sequence = 0; ///< Number of batches.
    std::map<std::uint64_t, std::uint64_t> billed; ///< Ranges of record numbers, first to last; neither overlapping nor adjacent.

    bool contains(std::uint64_t number) const;
    void add(std::uint64_t number);
};

std::string usageWriterKey(std::string_view cell, std::string_view writer);
std::string formatUsageWriter(const usage_writer_row &value);
absl::StatusOr<usage_writer_row> parseUsageWriter(const std::string &text);

}
