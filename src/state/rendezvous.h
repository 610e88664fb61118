#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Weight of a member for a key; the heaviest is the first choice.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Place of a member in the rendezvous order for a key: 0 is the first choice. All daemons with the same members agree on it,
/// and a member that leaves moves only the keys that it had. A member that is not listed gets the last place.
std::size_t rendezvousRank(std::string_view key, std::string_view member, std::span<const std::string> members);

}
