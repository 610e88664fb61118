#pragma once

#include "coordination/bench_daemon.h"
#include "coordination/bench_engine.h"

#include <vector>

namespace lacewinglock
{

/// Engine of a run with its state in the simulation.
struct bench_slot
{
    bench_engine engine{endpoint_role::Mixed};
    bool stepping = false;
    std::uint64_t incarnation = 0; ///< Incremented at every crash, so that timers set before it are ignored.
    int assignedRequests = 0; ///< Requests that were sent to the engine or will be transferred to it after prefill.
    endpoint_role nextRole = endpoint_role::Mixed;
    double startedMs = 0;
    double removedMs = -1; ///< Negative while the endpoint exists.
    double lastBusyMs = 0;
};

/// Engines of a run. Slots are never removed, so indexes stay valid.
struct bench_fleet
{
    std::vector<bench_slot> slots;
    std::vector<bench_engine_attributes> attributes;

    int add(const std::string &domain, bool reclaimable, endpoint_role role, double nowMs);
    int find(const std::string &id) const; ///< Index of an engine; negative when the identifier is unknown.
    double totalCost(double endMs) const; ///< Cost of all endpoints until `endMs`, in the unit of `benchOrdinaryCost`.
};

/// Returns twelve engines in three failure domains: three for prefill, six for decode, three mixed.
bench_fleet initialFleet(const bench_variant &variant);

constexpr int benchDomains = 3;
constexpr double benchOrdinaryCost = 1; ///< Cost of an ordinary endpoint per hour.
constexpr double benchReclaimableCost = 0.4;

}
