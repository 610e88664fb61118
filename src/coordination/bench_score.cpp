#include "coordination/bench_state.h"
#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double slowGapShare = 0.05; // 95 in 100 gaps must be in time.

bool timely(const bench_request &request, const bench_course &course)
{
    return course.done && course.firstTokenMs - request.arrivalMs <= toMs(tunables::firstTokenTarget)
        && course.slowGaps <= slowGapShare * std::max(1, course.gaps);
}

/// Max-min fair division of the total by weight, none getting more than it asked for.
std::vector<double> fairDivision(double total, const std::vector<double> &asked, const std::vector<double> &weights)
{
    std::vector<double> given(asked.size(), 0);
    // Each round satisfies at least one organisation or ends.
    for (std::size_t round = 0; round < asked.size() && total > 1e-9; ++round) {
        double weight = 0;
        for (std::size_t index = 0; index < asked.size(); ++index) {
            weight += given[index] < asked[index] ? weights[index] : 0;
        }
        if (weight <= 0) {
            break;
        }
        const double level = total / weight;
        for (std::size_t index = 0; index < asked.size(); ++index) {
            if (given[index] < asked[index]) {
                const double more = std::min(asked[index] - given[index], level * weights[index]);
                given[index] += more;
                total -= more;
            }
        }
    }
    return given;
}

}

bench_score bench_state::score() const
{
    bench_score result{.roleChanges = m_roleChanges, .signature = m_signature.value()};
    std::vector<double> asked(benchOrganisations, 0);
    std::vector<double> good(benchOrganisations, 0);
    std::vector<double> weights;
    weights.reserve(benchOrganisations);
    for (int organisation = 0; organisation < benchOrganisations; ++organisation) {
        weights.push_back(benchWeight(m_workload, organisation));
    }
    int whole = 0;
    int cheap = 0;
    int goodCount = 0;
    double goodCost = 0;
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        const auto &request = m_requests[index];
        const auto &course = m_courses[index];
        const auto organisation = static_cast<std::size_t>(request.organisation);
        const bool isGood = timely(request, course);
        // A prompt that crashes every engine has no answer to be had.
        asked[organisation] += request.poison ? 0 : course.cost;
        good[organisation] += isGood ? course.cost : 0;
        goodCost += isGood ? course.cost : 0;
        goodCount += isGood ? 1 : 0;
        whole += course.done ? 1 : 0;
        cheap += course.done && course.job.prefix == -2 ? 1 : 0;
        result.harmed += course.cutByReclaim && !isGood ? 1 : 0;
        result.untrueRefusals += course.refused && course.saidNotRun && course.receipts > 0 ? 1 : 0;
        const bool lost = course.done && course.executions == 0;
        result.lostOrDoubled += !request.repeatable && (lost || course.executions > 1) ? 1 : 0;
        result.unanswered += !course.done && !course.refused ? 1 : 0;
    }
    const auto fair = fairDivision(goodCost, asked, weights);
    result.worstShare = 1;
    for (std::size_t index = 0; index < fair.size(); ++index) {
        result.worstShare = fair[index] > 0 ? std::min(result.worstShare, good[index] / fair[index]) : result.worstShare;
    }
    result.goodput = goodCount / (m_workload.durationMs / 1000.0);
    result.costPerAnswer = m_fleet.spending(m_workload.durationMs) * 1000.0 / std::max(1, whole);
    result.cheapShare = static_cast<double>(cheap) / std::max(1, whole);
    return result;
}

}
