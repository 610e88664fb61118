#pragma once

#include "coordination/bench_daemon.h"
#include "coordination/bench_engine.h"

#include <vector>

namespace lacewinglock
{

/// An engine of a run with its bookkeeping.
struct bench_slot
{
    bench_engine engine{endpoint_role::Mixed};
    bool stepping = false;
    std::uint64_t generation = 0; ///< Raised at every crash, so that step ends from before it are ignored.
    int assigned = 0; ///< Requests sent or about to be handed over to it.
    endpoint_role nextRole = endpoint_role::Mixed;
    double fromMs = 0;
    double untilMs = -1; ///< Negative while the endpoint exists.
    double lastBusyMs = 0;
};

/// The engines of a run. Slots are only ever added, so indexes stay valid.
struct bench_fleet
{
    std::vector<bench_slot> slots;
    std::vector<bench_engine_facts> facts;

    int add(const std::string &domain, bool reclaimable, endpoint_role role, double nowMs);
    int find(const std::string &id) const; ///< Negative when unknown.
    double spending(double endMs) const;
};

/// Twelve engines in three failure domains: three for prefill, six for decode, three mixed.
bench_fleet initialFleet(const bench_variant &variant);

constexpr int benchDomains = 3;
constexpr double benchOrdinaryCost = 1; ///< Per hour.
constexpr double benchReclaimableCost = 0.4;

}
