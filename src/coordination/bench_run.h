#pragma once

#include "coordination/bench_workload.h"

#include <cstdint>
#include <string>

namespace lacewinglock
{

/// Figures of one workload under one variant.
struct bench_score
{
    double goodput = 0; ///< Whole, timely answers per second.
    int roleChanges = 0;
    double worstShare = 0; ///< Goodput of the worst-served organisation relative to its weighted fair share.
    double costPerAnswer = 0; ///< Endpoint spending per 1,000 whole answers.
    double cheapShare = 0; ///< Part of the whole answers that came from reclaimable endpoints.
    int harmed = 0; ///< Requests cut by a reclaim whose answer was late or missing.
    int untrueRefusals = 0; ///< Refusals saying "not run" for requests that reached an engine.
    int lostOrDoubled = 0; ///< Non-repeatable requests answered without having run, or run twice.
    int unanswered = 0; ///< Requests that were neither refused nor answered by the end.
    std::uint64_t signature = 0;
};

/// Runs a workload on a virtual clock with three daemons before twelve engines.
bench_score runWorkload(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed);

}
