#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Endpoints that get no new work because the holder of the lease `orders` is about to give them an order. The whole list is replaced by a newer
/// notice, never by time: an order that its sender was about to write may arrive at any later moment.
struct drain_notice
{
    std::uint64_t epoch = 0; ///< Of the lease; 0 while no holder has been heard of.
    std::uint64_t revision = 0; ///< Rises with each change of the list under one epoch.
    std::vector<std::string> endpoints;
};

/// Whether `left` replaces `right`.
inline bool isNewer(const drain_notice &left, const drain_notice &right)
{
    return left.epoch > right.epoch || (left.epoch == right.epoch && left.revision > right.revision);
}

}
