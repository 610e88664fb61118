#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

/// One row of the platform's table service. Versions start at 1 and rise with every commit that writes the row.
struct row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The row must be at this version for the commit to take effect; 0 means that the row must be absent.
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

/// Writes a value, or deletes the row when the value is empty.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// Several rows that change together or not at all.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class commit_outcome {
    Committed,
    Conflict, ///< A condition did not hold; nothing was written.
    Unavailable, ///< Certainly had no effect.
    Unknown, ///< May have taken effect; resolve by reading back the nonce in the row.
};

}
