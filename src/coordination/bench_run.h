#pragma once

#include "coordination/bench_workload.h"

#include <cstdint>
#include <string>

namespace lacewinglock
{

/// Scores of one workload under one variant.
struct bench_score
{
    double goodput = 0; ///< Complete responses per second that met the latency targets.
    int roleChanges = 0;
    double worstFairShare = 0; ///< Smallest ratio of an organisation's goodput to its weighted max-min fair share.
    double costPerThousandAnswers = 0; ///< Endpoint cost per 1,000 complete responses.
    double reclaimableFraction = 0; ///< Fraction of the complete responses that came from reclaimable endpoints.
    int failedAfterReclaim = 0; ///< Requests interrupted by a reclaim whose response was late or missing.
    int falseNotRunRefusals = 0; ///< Refusals with the run state "not run" for requests that reached an engine.
    int lostOrDuplicated = 0; ///< Non-repeatable requests that were answered without having run, or ran twice.
    int unanswered = 0; ///< Requests that were neither refused nor answered before the run ended.
    std::uint64_t signature = 0;
};

/// Simulates a workload on a virtual clock with three daemons that share twelve engines.
bench_score runWorkload(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed);

}
