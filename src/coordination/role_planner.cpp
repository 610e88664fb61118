#include "coordination/role_planner.h"

#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace lacewinglock
{

namespace
{

// Of equal gains the first in this list wins. Mixed comes last: such a change adds little capacity and is often followed by a second one.
constexpr std::array allRoles = {endpoint_role::Prefill, endpoint_role::Decode, endpoint_role::Mixed};
constexpr int mixedSplitSteps = 20; // Number of steps in which the mixed engines are split between prefill and decode.

std::vector<role_endpoint_view> availableEngines(const role_input &input)
{
    std::vector<role_endpoint_view> engines;
    for (const auto &view : input.endpoints) {
        if (view.available && !view.changingRole) {
            engines.push_back(view);
        }
    }
    std::ranges::sort(engines, {}, &role_endpoint_view::id);
    return engines;
}

token_demand withHeadroom(const token_demand &demand)
{
    return {demand.promptTokensPerSecond * tunables::roleDemandHeadroom, demand.outputTokensPerSecond * tunables::roleDemandHeadroom};
}

/// Capacity of a set of engines, in tokens per second. The mixed part can be split between prefill and decode.
struct capacity
{
    token_demand fixed;
    token_demand mixed;
};

capacity sumCapacity(const std::vector<role_endpoint_view> &engines)
{
    capacity sum;
    for (const auto &engine : engines) {
        if (engine.role == endpoint_role::Prefill) {
            sum.fixed.promptTokensPerSecond += engine.prefillTokensPerSecond;
        } else if (engine.role == endpoint_role::Decode) {
            sum.fixed.outputTokensPerSecond += engine.decodeTokensPerSecond;
        } else {
            sum.mixed.promptTokensPerSecond += engine.prefillTokensPerSecond * tunables::mixedEfficiency;
            sum.mixed.outputTokensPerSecond += engine.decodeTokensPerSecond * tunables::mixedEfficiency;
        }
    }
    return sum;
}

double servedFraction(double available, double demanded)
{
    return demanded > available ? available / demanded : 1.0;
}

double tokensPerSecond(const token_demand &demand)
{
    return demand.promptTokensPerSecond * tunables::promptTokenWeight + demand.outputTokensPerSecond * tunables::outputTokenWeight;
}

/// Estimates gain and loss of one change. The short-term demand is assumed to continue for the short horizon, and the long-term demand for the rest of
/// the long horizon. The gain counts only requests that get both phases, so that an overload never moves all engines to one role; the loss counts
/// all tokens that the engine processes now.
role_candidate evaluateChange(const std::vector<role_endpoint_view> &engines, std::size_t index, endpoint_role role, const role_input &input)
{
    std::vector<role_endpoint_view> changed = engines;
    changed[index].role = role;
    const auto gain = [&](const token_demand &demand) {
        return expectedThroughput(changed, demand).goodput - expectedThroughput(engines, demand).goodput;
    };
    std::vector<role_endpoint_view> remaining = engines;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(index));
    const double lost = expectedThroughput(engines, input.shortDemand).total - expectedThroughput(remaining, input.shortDemand).total;
    const double shortSeconds = toMs(tunables::shortDemandHorizon) / 1000.0;
    const double longSeconds = toMs(tunables::longDemandHorizon) / 1000.0 - shortSeconds;
    return {
        .endpoint = engines[index].id,
        .role = role,
        .gainTokens = gain(input.shortDemand) * shortSeconds + gain(input.longDemand) * longSeconds,
        .lossTokens = std::max(0.0, lost) * input.changeMs / 1000.0,
    };
}

/// Indices of the engines with the fewest running streams, one per role: these have the least work to drain.
std::vector<std::size_t> leastBusyPerRole(const std::vector<role_endpoint_view> &engines)
{
    std::vector<std::size_t> chosen;
    for (const auto role : allRoles) {
        std::size_t best = engines.size();
        for (std::size_t index = 0; index < engines.size(); ++index) {
            if (engines[index].role == role && (best == engines.size() || engines[index].runningStreams < engines[best].runningStreams)) {
                best = index;
            }
        }
        if (best < engines.size()) {
            chosen.push_back(best);
        }
    }
    return chosen;
}

/// Whether the change leaves a group that has no mixed engines with fewer than tunables::minEnginesPerRole for prefill or for decode.
bool leavesRoleEmpty(const std::vector<role_endpoint_view> &engines, std::size_t index, endpoint_role role)
{
    std::vector<role_endpoint_view> changed = engines;
    changed[index].role = role;
    const auto count = [&](endpoint_role wanted) {
        return std::ranges::count(changed, wanted, &role_endpoint_view::role);
    };
    return count(endpoint_role::Mixed) == 0
        && (count(endpoint_role::Prefill) < tunables::minEnginesPerRole || count(endpoint_role::Decode) < tunables::minEnginesPerRole);
}

std::vector<role_candidate> candidateChanges(const std::vector<role_endpoint_view> &engines, const role_input &input)
{
    std::vector<role_candidate> changes;
    for (const auto index : leastBusyPerRole(engines)) {
        for (const auto role : allRoles) {
            if (role != engines[index].role && !leavesRoleEmpty(engines, index, role)) {
                changes.push_back(evaluateChange(engines, index, role, input));
            }
        }
    }
    return changes;
}

void setChoice(role_result &result, const role_candidate &candidate, std::string_view reason)
{
    result.endpoint = candidate.endpoint;
    result.role = candidate.role;
    result.reason = reason;
}

struct role_policy_visitor
{
    const role_input &input;

    role_result operator()(const break_even_roles &) const
    {
        role_result result;
        if (input.sinceLastChangeMs < toMs(tunables::minRoleChangeInterval)) {
            result.reason = "the last change is too recent to show its effect";
            return result;
        }
        result.candidates = candidateChanges(availableEngines(input), input);
        const role_candidate *best = nullptr;
        for (auto &candidate : result.candidates) {
            const double net = candidate.gainTokens - candidate.lossTokens * tunables::breakEvenMargin;
            candidate.reason = net > 0 ? "gain exceeds loss" : "loss exceeds gain";
            // A gain close to zero can be a rounding error.
            if (net > 0.001 * tokensPerSecond(input.shortDemand)
                && (best == nullptr || net > best->gainTokens - best->lossTokens * tunables::breakEvenMargin)) {
                best = &candidate;
            }
        }
        if (best == nullptr) {
            result.reason = "no change pays for the time away";
        } else {
            setChoice(result, *best, "gain exceeds loss");
        }
        return result;
    }

    role_result operator()(const fixed_roles &) const
    {
        return {.reason = "roles are fixed"};
    }

    role_result operator()(const follow_mix_roles &) const
    {
        role_result result;
        const auto engines = availableEngines(input);
        const double prompt = input.shortDemand.promptTokensPerSecond / 8000;
        const double output = input.shortDemand.outputTokensPerSecond / 2600;
        const double prefillFraction = prompt + output > 0 ? prompt / (prompt + output) : 0.5;
        const auto target = std::clamp<std::ptrdiff_t>(
            std::lround(prefillFraction * static_cast<double>(engines.size())), 1, std::max<std::ptrdiff_t>(1, std::ssize(engines) - 1));
        const auto present = std::ranges::count(engines, endpoint_role::Prefill, &role_endpoint_view::role);
        const auto role = present < target ? endpoint_role::Prefill : endpoint_role::Decode;
        result.reason = "roles follow the mix";
        if (present == target) {
            return result;
        }
        for (const auto index : leastBusyPerRole(engines)) {
            if (engines[index].role != role) {
                result.endpoint = engines[index].id;
                result.role = role;
            }
        }
        return result;
    }
};

}

role_throughput expectedThroughput(const std::vector<role_endpoint_view> &engines, const token_demand &demand)
{
    const capacity available = sumCapacity(engines);
    const token_demand needed = withHeadroom(demand);
    role_throughput best;
    for (int step = 0; step <= mixedSplitSteps; ++step) {
        const double split = static_cast<double>(step) / mixedSplitSteps;
        const double prompt = available.fixed.promptTokensPerSecond + available.mixed.promptTokensPerSecond * split;
        const double output = available.fixed.outputTokensPerSecond + available.mixed.outputTokensPerSecond * (1 - split);
        const double promptFraction = servedFraction(prompt, needed.promptTokensPerSecond);
        const double outputFraction = servedFraction(output, needed.outputTokensPerSecond);
        best.goodput = std::max(best.goodput, std::min(promptFraction, outputFraction) * tokensPerSecond(demand));
        best.total = std::max(best.total, tokensPerSecond({demand.promptTokensPerSecond * promptFraction, demand.outputTokensPerSecond * outputFraction}));
    }
    return best;
}

role_result decideRole(const role_input &input)
{
    const bool changing = std::ranges::any_of(input.endpoints, &role_endpoint_view::changingRole);
    if (changing || input.orderOpen) {
        return {.reason = "another change of the group is under way"};
    }
    return std::visit(role_policy_visitor{input}, input.policy);
}

}
