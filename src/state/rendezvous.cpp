#include "state/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return XXH3_64bits_withSeed(member.data(), member.size(), XXH3_64bits(key.data(), key.size()));
}

std::size_t rendezvousRank(std::string_view key, std::string_view member, std::span<const std::string> members)
{
    if (std::ranges::find(members, member) == members.end()) {
        return members.size();
    }
    const auto own = std::pair(rendezvousWeight(key, member), member);
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const std::string &other) {
        return std::pair(rendezvousWeight(key, other), std::string_view(other)) > own;
    }));
}

}
