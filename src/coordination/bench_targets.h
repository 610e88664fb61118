#pragma once

#include "coordination/bench_run.h"

#include <map>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Scores of one workload, keyed by the name of the variant.
struct bench_workload_scores
{
    std::string workload;
    bool mixShifts = false; ///< The mix of prefill and decode work changes, so the goodput target applies.
    std::map<std::string, bench_score> variants;
};

/// Returns one line per target: met, or missed with each workload that misses it and the value there.
std::vector<std::string> targetLines(const std::vector<bench_workload_scores> &results);

}
