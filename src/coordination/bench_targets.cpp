#include "coordination/bench_targets.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <optional>

namespace lacewinglock
{

namespace
{

constexpr double minGoodputRatio = 1.5; // Relative to round robin with fixed roles, while the mix of prefill and decode work shifts.
constexpr int minRoleChangeRatio = 3; // Role changes of `follow mix` for each role change of `chosen`.
constexpr double minWorstFairShare = 0.9;
constexpr double maxGapToBest = 0.02;

/// Check of one target in a workload. Returns the value that misses the target, or nothing when the target is met.
using target_check = std::function<std::optional<std::string>(const bench_workload_scores &)>;

std::string formatNumber(double value, int digits)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.*f", digits, value);
    return text;
}

std::string targetLine(const std::string &target, const std::vector<bench_workload_scores> &results, const target_check &check)
{
    std::string missed;
    for (const auto &result : results) {
        if (const auto text = check(result)) {
            missed += (missed.empty() ? "" : "; ") + result.workload + " " + *text;
        }
    }
    return "aim: " + target + ": " + (missed.empty() ? "met" : "missed: " + missed);
}

std::optional<std::string> goodputMiss(const bench_workload_scores &result)
{
    const double ratio = result.variants.at("chosen").goodput / std::max(0.001, result.variants.at("round robin").goodput);
    return result.mixShifts && ratio < minGoodputRatio ? std::optional(formatNumber(ratio, 2)) : std::nullopt;
}

std::optional<std::string> roleChangeMiss(const bench_workload_scores &result)
{
    const int changes = result.variants.at("chosen").roleChanges;
    const int following = result.variants.at("follow mix").roleChanges;
    return minRoleChangeRatio * changes > following ? std::optional(std::to_string(changes) + " against " + std::to_string(following)) : std::nullopt;
}

std::optional<std::string> worstFairShareMiss(const bench_workload_scores &result)
{
    const double share = result.variants.at("chosen").worstFairShare;
    return share < minWorstFairShare ? std::optional(formatNumber(share, 3)) : std::nullopt;
}

/// Returns a target check that a count of the chosen policies is zero.
target_check zeroCount(int bench_score::*count)
{
    return [count](const bench_workload_scores &result) {
        const int value = result.variants.at("chosen").*count;
        return value > 0 ? std::optional(std::to_string(value)) : std::nullopt;
    };
}

/// Returns a target check that a value of the chosen policies is within `maxGapToBest` of the best variant.
target_check nearBest(double bench_score::*value, bool lowerIsBetter, int digits)
{
    return [=](const bench_workload_scores &result) -> std::optional<std::string> {
        const auto better = [&](const auto &left, const auto &right) {
            return lowerIsBetter ? left.second.*value < right.second.*value : left.second.*value > right.second.*value;
        };
        const auto best = std::ranges::min_element(result.variants, better);
        const double chosen = result.variants.at("chosen").*value;
        const double bound = best->second.*value * (lowerIsBetter ? 1 + maxGapToBest : 1 - maxGapToBest);
        if (lowerIsBetter ? chosen <= bound : chosen >= bound) {
            return std::nullopt;
        }
        return formatNumber(chosen, digits) + " against " + formatNumber(best->second.*value, digits) + " (" + best->first + ")";
    };
}

}

std::vector<std::string> targetLines(const std::vector<bench_workload_scores> &results)
{
    return {
        targetLine("goodput 1.5 times round robin with fixed roles while the mix shifts", results, goodputMiss),
        targetLine("role changes at most a third of follow mix", results, roleChangeMiss),
        targetLine("worst-served organisation at 0.9 of its share", results, worstFairShareMiss),
        targetLine("no request cut by a reclaim is late or lost", results, zeroCount(&bench_score::failedAfterReclaim)),
        targetLine("no untrue refusal", results, zeroCount(&bench_score::falseNotRunRefusals)),
        targetLine("no non-repeatable request lost or run twice", results, zeroCount(&bench_score::lostOrDuplicated)),
        targetLine("no request without an outcome", results, zeroCount(&bench_score::unanswered)),
        targetLine("goodput within 2% of the best variant", results, nearBest(&bench_score::goodput, false, 2)),
        targetLine("cost within 2% of the best variant", results, nearBest(&bench_score::costPerThousandAnswers, true, 4)),
        targetLine("cheap share within 2% of the best variant", results, nearBest(&bench_score::reclaimableFraction, false, 3)),
    };
}

}
