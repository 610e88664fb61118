#include "coordination/bench_state.h"
#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double maxSlowGapFraction = 0.05; // At least 95% of the gaps between tokens must meet the target.

bool timely(const bench_request &request, const bench_request_progress &progress)
{
    return progress.done && progress.firstTokenMs - request.arrivalMs <= toMs(tunables::firstTokenTarget)
        && progress.slowGaps <= maxSlowGapFraction * std::max(1, progress.gaps);
}

/// Divides the total by weighted max-min fairness, so that no allocation exceeds its demand.
std::vector<double> maxMinFairShares(double total, const std::vector<double> &demands, const std::vector<double> &weights)
{
    std::vector<double> allocations(demands.size(), 0);
    // Each round satisfies at least one organisation or distributes what is left.
    for (std::size_t round = 0; round < demands.size() && total > 1e-9; ++round) {
        double weight = 0;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            weight += allocations[index] < demands[index] ? weights[index] : 0;
        }
        if (weight <= 0) {
            break;
        }
        const double level = total / weight;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (allocations[index] < demands[index]) {
                const double more = std::min(demands[index] - allocations[index], level * weights[index]);
                allocations[index] += more;
                total -= more;
            }
        }
    }
    return allocations;
}

}

bench_score bench_state::score() const
{
    bench_score result{.roleChanges = m_roleChanges, .signature = m_signature.value()};
    std::vector<double> demands(benchOrganisations, 0);
    std::vector<double> good(benchOrganisations, 0);
    std::vector<double> weights;
    weights.reserve(benchOrganisations);
    for (int organisation = 0; organisation < benchOrganisations; ++organisation) {
        weights.push_back(benchWeight(m_workload, organisation));
    }
    int completed = 0;
    int reclaimableAnswers = 0;
    int goodCount = 0;
    double goodCost = 0;
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        const auto &request = m_requests[index];
        const auto &progress = m_progress[index];
        const auto organisation = static_cast<std::size_t>(request.organisation);
        const bool isGood = timely(request, progress);
        // A poison prompt crashes every engine and can't be answered, so it counts as no demand.
        demands[organisation] += request.poison ? 0 : progress.cost;
        good[organisation] += isGood ? progress.cost : 0;
        goodCost += isGood ? progress.cost : 0;
        goodCount += isGood ? 1 : 0;
        completed += progress.done ? 1 : 0;
        reclaimableAnswers += progress.done && progress.job.prefix == -2 ? 1 : 0;
        result.failedAfterReclaim += progress.interruptedByReclaim && !isGood ? 1 : 0;
        result.falseNotRunRefusals += progress.refused && progress.reportedNotRun && progress.engineReceipts > 0 ? 1 : 0;
        const bool neverRan = progress.done && progress.executions == 0;
        result.lostOrDuplicated += !request.repeatable && (neverRan || progress.executions > 1) ? 1 : 0;
        result.unanswered += !progress.done && !progress.refused ? 1 : 0;
    }
    const auto fair = maxMinFairShares(goodCost, demands, weights);
    result.worstFairShare = 1;
    for (std::size_t index = 0; index < fair.size(); ++index) {
        result.worstFairShare = fair[index] > 0 ? std::min(result.worstFairShare, good[index] / fair[index]) : result.worstFairShare;
    }
    result.goodput = goodCount / (m_workload.durationMs / 1000.0);
    result.costPerThousandAnswers = m_fleet.totalCost(m_workload.durationMs) * 1000.0 / std::max(1, completed);
    result.reclaimableFraction = static_cast<double>(reclaimableAnswers) / std::max(1, completed);
    return result;
}

}
