#pragma once

#include "serving/edge_context.h"

#include <optional>

namespace lacewinglock
{

/// Position of a daemon among those that share the limits of endpoints.
struct fleet_place
{
    std::size_t rank = 0;
    std::size_t daemons = 1;

    bool operator==(const fleet_place &) const = default;
};

/// The place of this daemon by id among the members that serve, according to the state exchange. If only half of the members or fewer are known to serve,
/// this daemon may be the one that is cut off, and all members count. nullopt if this daemon is not a member, or does not know the members yet.
std::optional<fleet_place> findPlace(const edge_context &context);

}
