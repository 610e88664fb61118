#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Rendezvous hash weight of a member for a key. The member with the highest weight is the first choice.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Rank of a member for a key by descending weight; 0 is the first choice. Daemons with the same member list compute the same ranks, and when a
/// member leaves, only its own keys move. Returns members.size() for a member that is not in the list.
std::size_t rendezvousRank(std::string_view key, std::string_view member, std::span<const std::string> members);

}
