#include "coordination/bench_aims.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <optional>

namespace lacewinglock
{

namespace
{

constexpr double goodputAim = 1.5; // Against round robin with fixed roles, while the mix shifts.
constexpr int roleChangeAim = 3; // Times fewer than the rule that follows the mix at once.
constexpr double worstShareAim = 0.9;
constexpr double behindBestAim = 0.02;

/// The figure that misses an aim in a workload, or nothing.
using aim_check = std::function<std::optional<std::string>(const bench_workload_scores &)>;

std::string figure(double value, int digits)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.*f", digits, value);
    return text;
}

std::string aimLine(const std::string &aim, const std::vector<bench_workload_scores> &results, const aim_check &check)
{
    std::string missed;
    for (const auto &result : results) {
        if (const auto text = check(result)) {
            missed += (missed.empty() ? "" : "; ") + result.workload + " " + *text;
        }
    }
    return "aim: " + aim + ": " + (missed.empty() ? "met" : "missed: " + missed);
}

std::optional<std::string> goodputMiss(const bench_workload_scores &result)
{
    const double ratio = result.variants.at("chosen").goodput / std::max(0.001, result.variants.at("round robin").goodput);
    return result.shifting && ratio < goodputAim ? std::optional(figure(ratio, 2)) : std::nullopt;
}

std::optional<std::string> roleChangeMiss(const bench_workload_scores &result)
{
    const int changes = result.variants.at("chosen").roleChanges;
    const int following = result.variants.at("follow mix").roleChanges;
    return roleChangeAim * changes > following ? std::optional(std::to_string(changes) + " against " + std::to_string(following)) : std::nullopt;
}

std::optional<std::string> worstShareMiss(const bench_workload_scores &result)
{
    const double share = result.variants.at("chosen").worstShare;
    return share < worstShareAim ? std::optional(figure(share, 3)) : std::nullopt;
}

/// Checks a count that must be zero.
aim_check zeroCount(int bench_score::*count)
{
    return [count](const bench_workload_scores &result) {
        const int value = result.variants.at("chosen").*count;
        return value > 0 ? std::optional(std::to_string(value)) : std::nullopt;
    };
}

/// Checks a figure against the best of all variants.
aim_check nearBest(double bench_score::*value, bool lowerIsBetter, int digits)
{
    return [=](const bench_workload_scores &result) -> std::optional<std::string> {
        const auto better = [&](const auto &left, const auto &right) {
            return lowerIsBetter ? left.second.*value < right.second.*value : left.second.*value > right.second.*value;
        };
        const auto best = std::ranges::min_element(result.variants, better);
        const double chosen = result.variants.at("chosen").*value;
        const double bound = best->second.*value * (lowerIsBetter ? 1 + behindBestAim : 1 - behindBestAim);
        if (lowerIsBetter ? chosen <= bound : chosen >= bound) {
            return std::nullopt;
        }
        return figure(chosen, digits) + " against " + figure(best->second.*value, digits) + " (" + best->first + ")";
    };
}

}

std::vector<std::string> aimLines(const std::vector<bench_workload_scores> &results)
{
    return {
        aimLine("goodput 1.5 times round robin with fixed roles while the mix shifts", results, goodputMiss),
        aimLine("role changes at most a third of follow mix", results, roleChangeMiss),
        aimLine("worst-served organisation at 0.9 of its share", results, worstShareMiss),
        aimLine("no request cut by a reclaim is late or lost", results, zeroCount(&bench_score::harmed)),
        aimLine("no untrue refusal", results, zeroCount(&bench_score::untrueRefusals)),
        aimLine("no non-repeatable request lost or run twice", results, zeroCount(&bench_score::lostOrDoubled)),
        aimLine("no request without an outcome", results, zeroCount(&bench_score::unanswered)),
        aimLine("goodput within 2% of the best variant", results, nearBest(&bench_score::goodput, false, 2)),
        aimLine("cost within 2% of the best variant", results, nearBest(&bench_score::costPerAnswer, true, 4)),
        aimLine("cheap share within 2% of the best variant", results, nearBest(&bench_score::cheapShare, false, 3)),
    };
}

}
