#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

/// One row of the platform's table service. Its version starts at 1 and increases with every commit that writes the row.
struct row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// A commit takes effect only if the row is at this version; 0 means that the row must be absent.
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

/// Writes a value, or deletes the row when there is no value.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// Writes to several rows that take effect atomically, if all conditions hold.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class commit_outcome {
    Committed,
    Conflict, ///< A condition did not hold; nothing was written.
    Unavailable, ///< The table service is unavailable; the commit certainly had no effect.
    Unknown, ///< The answer was lost, so the commit may have taken effect; the nonce in the row shows whether it did.
};

}
