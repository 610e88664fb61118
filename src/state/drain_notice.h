#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Endpoints that get no new work because the holder of the lease `orders` is about to send them an order. Only a newer notice replaces the list; it does
/// not expire, because an order that its sender was about to write may arrive at any later time.
struct drain_notice
{
    std::uint64_t epoch = 0; ///< Epoch of the sender's lease; 0 until a notice is received.
    std::uint64_t revision = 0; ///< Incremented with each change of the list within one epoch.
    std::vector<std::string> endpoints;
};

/// Whether notice `left` replaces notice `right`.
inline bool isNewer(const drain_notice &left, const drain_notice &right)
{
    return left.epoch > right.epoch || (left.epoch == right.epoch && left.revision > right.revision);
}

}
