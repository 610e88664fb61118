#pragma once

#include "serving/edge_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// What the daemons note in the store when they meet a new history of it. A process that starts has met no other history; only a row that came back
/// with the copy, and names an older history than the answers of the store, shows that the store was restored.
struct history_record
{
    std::uint64_t history = 0; ///< The history of the store in which the row was written.
    std::int64_t reportedBefore = 0; ///< Usage of the windows before this one may have been reported in an earlier history.
    std::uint64_t configuration = 0; ///< Newest version that a daemon held when it met this history; 0 if all have started in it.
    std::optional<std::int64_t> restoredAtMs; ///< When the first daemon met this history, by the clock of the store; nullopt if none was met before.

    bool operator==(const history_record &) const = default;
};

/// Encodes the record as the JSON object that is stored.
std::string encodeHistory(const history_record &record);
/// Parses the output of encodeHistory(). Returns nullopt when it is malformed.
std::optional<history_record> parseHistory(std::string_view encoded);

/// Reads the record at the start, which clears edge_context::historyUnread, and writes one in each history of the store that has none.
task<void> maintainHistoryRecord(edge_context &context);

}
