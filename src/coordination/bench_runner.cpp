#include "coordination/bench_runner.h"

#include "coordination/bench_run.h"
#include "coordination/bench_signature.h"
#include "coordination/bench_targets.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

namespace lacewinglock
{

namespace
{

constexpr unsigned maxThreads = 8;

/// Runs every pair of workload and variant. The order of the scores does not depend on the threads.
std::vector<bench_score> runAll(const std::vector<bench_workload> &workloads, const std::vector<bench_variant> &variants, std::uint64_t seed)
{
    std::vector<bench_score> scores(workloads.size() * variants.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < scores.size(); index = next++) {
            scores[index] = runWorkload(workloads[index / variants.size()], variants[index % variants.size()], seed);
        }
    };
    std::vector<std::jthread> threads;
    const unsigned count = std::clamp(std::thread::hardware_concurrency(), 1U, maxThreads);
    for (unsigned thread = 0; thread < count; ++thread) {
        threads.emplace_back(work);
    }
    threads.clear();
    return scores;
}

void printScore(std::ostream &out, const bench_variant &variant, const bench_score &score)
{
    char line[160];
    std::snprintf(line,
                  sizeof(line),
                  "| %-13s | %7.2f | %5d | %6.3f | %7.3f | %6.3f | %6d | %7d | %7d | %6d |\n",
                  variant.name.c_str(),
                  score.goodput,
                  score.roleChanges,
                  score.worstFairShare,
                  score.costPerThousandAnswers,
                  score.reclaimableFraction,
                  score.failedAfterReclaim,
                  score.falseNotRunRefusals,
                  score.lostOrDuplicated,
                  score.unanswered);
    out << line;
}

}

int runBench(std::ostream &out, std::uint64_t seed)
{
    const auto workloads = benchWorkloads();
    const auto variants = benchVariants();
    const auto scores = runAll(workloads, variants, seed);
    bench_signature signature;
    bool invariantBroken = false;
    std::vector<bench_workload_scores> results;
    for (std::size_t row = 0; row < workloads.size(); ++row) {
        auto &result = results.emplace_back(bench_workload_scores{.workload = workloads[row].name, .mixShifts = workloads[row].mixShifts});
        out << "\n" << workloads[row].name << ":\n\n";
        out << "| variant       | goodput | roles | worst  | cost    | cheap  | harmed | untrue  | lost/2x | open   |\n";
        out << "|---------------|---------|-------|--------|---------|--------|--------|---------|---------|--------|\n";
        for (std::size_t column = 0; column < variants.size(); ++column) {
            const auto &score = scores[row * variants.size() + column];
            printScore(out, variants[column], score);
            result.variants[variants[column].name] = score;
            signature.add(score.signature);
            invariantBroken = invariantBroken || score.falseNotRunRefusals > 0 || score.lostOrDuplicated > 0;
        }
    }
    out << "\n";
    for (const auto &line : targetLines(results)) {
        out << line << "\n";
    }
    out << "\nBench: " << signature.value() << "\n";
    return invariantBroken ? 1 : 0;
}

}
