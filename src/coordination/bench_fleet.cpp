#include "coordination/bench_fleet.h"

#include <algorithm>

namespace lacewinglock
{

int bench_fleet::add(const std::string &domain, bool reclaimable, endpoint_role role, double nowMs)
{
    const int index = static_cast<int>(slots.size());
    slots.push_back({.engine = bench_engine(role), .fromMs = nowMs, .lastBusyMs = nowMs});
    // Two digits keep the identifiers in numeric order.
    facts.push_back({.id = "e" + std::string(index < 10 ? "0" : "") + std::to_string(index), .failureDomain = domain, .reclaimable = reclaimable});
    return index;
}

int bench_fleet::find(const std::string &id) const
{
    const auto found = std::ranges::find(facts, id, &bench_engine_facts::id);
    return found == facts.end() ? -1 : static_cast<int>(found - facts.begin());
}

double bench_fleet::spending(double endMs) const
{
    double sum = 0;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        const double until = slots[index].untilMs < 0 ? endMs : std::min(endMs, slots[index].untilMs);
        sum += std::max(0.0, until - slots[index].fromMs) / 3600000 * (facts[index].reclaimable ? benchReclaimableCost : benchOrdinaryCost);
    }
    return sum;
}

bench_fleet initialFleet(const bench_variant &variant)
{
    const bool cheap = std::holds_alternative<cheap_first_provision>(variant.provision);
    bench_fleet fleet;
    for (int domain = 0; domain < benchDomains; ++domain) {
        const std::string name = "fd" + std::to_string(domain);
        fleet.add(name, false, endpoint_role::Prefill, 0);
        fleet.add(name, false, endpoint_role::Decode, 0);
        fleet.add(name, cheap, endpoint_role::Decode, 0);
        fleet.add(name, cheap, endpoint_role::Mixed, 0);
    }
    return fleet;
}

}
