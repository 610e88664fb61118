#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// One row that was written or removed.
struct changed_row
{
    std::string key;
    std::string value; ///< Empty for a removed row.
    bool removed = false;

    bool operator==(const changed_row &) const = default;
};

/// Changes of a platform table that a relay daemon read from the store and forwards to other daemons.
struct relayed_feed
{
    std::uint64_t version = 0; ///< Table version after these rows are applied.
    std::uint32_t ageMs = 0; ///< Since the relay sent the store request that returned this version.
    std::optional<std::uint32_t> storeFailureAgeMs; ///< Since the relay's last failed call to the store; none if no call failed.
    std::vector<changed_row> rows;

    bool operator==(const relayed_feed &) const = default;
};

std::string encodeFeed(const relayed_feed &feed);
/// Decodes the body of a feed response; InvalidArgument if it is malformed.
absl::StatusOr<relayed_feed> parseFeed(std::string_view body);

}
