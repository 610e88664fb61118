#include "coordination/bench_fleet.h"

#include <algorithm>

namespace lacewinglock
{

int bench_fleet::add(const std::string &domain, bool reclaimable, endpoint_role role, double nowMs)
{
    const int index = static_cast<int>(slots.size());
    slots.push_back({.engine = bench_engine(role), .startedMs = nowMs, .lastBusyMs = nowMs});
    // Two digits keep the alphabetical order of the identifiers equal to the numeric order.
    attributes.push_back({.id = "e" + std::string(index < 10 ? "0" : "") + std::to_string(index), .failureDomain = domain, .reclaimable = reclaimable});
    return index;
}

int bench_fleet::find(const std::string &id) const
{
    const auto found = std::ranges::find(attributes, id, &bench_engine_attributes::id);
    return found == attributes.end() ? -1 : static_cast<int>(found - attributes.begin());
}

double bench_fleet::totalCost(double endMs) const
{
    double sum = 0;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        const double until = slots[index].removedMs < 0 ? endMs : std::min(endMs, slots[index].removedMs);
        sum += std::max(0.0, until - slots[index].startedMs) / 3600000 * (attributes[index].reclaimable ? benchReclaimableCost : benchOrdinaryCost);
    }
    return sum;
}

bench_fleet initialFleet(const bench_variant &variant)
{
    const bool hasReclaimable = std::holds_alternative<cheap_first_provision>(variant.provision);
    bench_fleet fleet;
    for (int domain = 0; domain < benchDomains; ++domain) {
        const std::string name = "fd" + std::to_string(domain);
        fleet.add(name, false, endpoint_role::Prefill, 0);
        fleet.add(name, false, endpoint_role::Decode, 0);
        fleet.add(name, hasReclaimable, endpoint_role::Decode, 0);
        fleet.add(name, hasReclaimable, endpoint_role::Mixed, 0);
    }
    return fleet;
}

}
