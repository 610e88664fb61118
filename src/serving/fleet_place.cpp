#include "serving/fleet_place.h"

namespace lacewinglock
{

// Members and peers are both in the order of their ids, so one pass over both is enough in a large fleet.
std::optional<fleet_place> findPlace(const edge_context &context)
{
    fleet_place serving{.daemons = 0};
    fleet_place all{.daemons = 0};
    bool found = false;
    auto peer = context.peers.begin();
    for (const auto &[id, member] : context.members) {
        while (peer != context.peers.end() && peer->first < id) {
            ++peer;
        }
        if (id == context.settings.id) {
            found = true;
            serving.rank = serving.daemons;
            all.rank = all.daemons;
            ++serving.daemons;
        } else if (peer != context.peers.end() && peer->first == id && peer->second.serving) {
            ++serving.daemons;
        }
        ++all.daemons;
    }
    if (!found) {
        return std::nullopt;
    }
    return 2 * serving.daemons > all.daemons ? serving : all;
}

}
