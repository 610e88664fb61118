#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

struct changed_row
{
    std::string key;
    std::string value;
    bool removed = false;

    bool operator==(const changed_row &) const = default;
};

/// Changes of a platform table that one daemon read from the store and passes on to another.
struct relayed_feed
{
    std::uint64_t version = 0; ///< Reached with these rows.
    std::uint32_t ageMs = 0; ///< Since the call to the store that proves it was made.
    std::optional<std::uint32_t> storeFailedMs; ///< Since the sender's last failed call to the store.
    std::vector<changed_row> rows;

    bool operator==(const relayed_feed &) const = default;
};

std::string encodeFeed(const relayed_feed &feed);
absl::StatusOr<relayed_feed> parseFeed(std::string_view body);

}
