#pragma once

#include "coordination/bench_run.h"

#include <map>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Scores of one workload by the name of the variant.
struct bench_workload_scores
{
    std::string workload;
    bool shifting = false; ///< The mix of prompt and output moves, so the aim for goodput applies.
    std::map<std::string, bench_score> variants;
};

/// One line per aim: met, or missed with the workloads that miss it and their figures.
std::vector<std::string> aimLines(const std::vector<bench_workload_scores> &results);

}
