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

// Among equal gains the first counts. A change to a mixed engine comes last: it adds little capacity and is often followed by a second change.
constexpr std::array allRoles = {endpoint_role::Prefill, endpoint_role::Decode, endpoint_role::Mixed};
constexpr int mixedSplitSteps = 20; // Splits of the mixed engines between prefill and decode that are compared.

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

/// Capacity of a set of engines; mixed ones can be split between the two kinds of work.
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

double servedPart(double available, double demanded)
{
    return demanded > available ? available / demanded : 1.0;
}

double tokensPerSecond(const token_demand &demand)
{
    return demand.promptTokensPerSecond * tunables::promptTokenWeight + demand.outputTokensPerSecond * tunables::outputTokenWeight;
}

/// The demand of the short horizon is taken to last that long again, the demand of the long horizon for the rest of the stay. The gain counts
/// whole answers, so that an overload never moves all engines to one role; the loss counts all work that the engine does now.
role_candidate weighChange(const std::vector<role_endpoint_view> &engines, std::size_t index, endpoint_role role, const role_input &input)
{
    std::vector<role_endpoint_view> changed = engines;
    changed[index].role = role;
    const auto gain = [&](const token_demand &demand) {
        return expectedOutput(changed, demand).wholeAnswers - expectedOutput(engines, demand).wholeAnswers;
    };
    std::vector<role_endpoint_view> away = engines;
    away.erase(away.begin() + static_cast<std::ptrdiff_t>(index));
    const double lost = expectedOutput(engines, input.shortDemand).work - expectedOutput(away, input.shortDemand).work;
    const double shortSeconds = toMs(tunables::shortDemandHorizon) / 1000.0;
    const double longSeconds = toMs(tunables::longDemandHorizon) / 1000.0 - shortSeconds;
    return {
        .endpoint = engines[index].id,
        .role = role,
        .gainTokens = gain(input.shortDemand) * shortSeconds + gain(input.longDemand) * longSeconds,
        .lossTokens = std::max(0.0, lost) * input.changeMs / 1000.0,
    };
}

/// One engine per present role stands for all of that role: the one with the least work to drain.
std::vector<std::size_t> representatives(const std::vector<role_endpoint_view> &engines)
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

/// A group without mixed engines keeps at least one for prefill and one for decode.
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

std::vector<role_candidate> possibleChanges(const std::vector<role_endpoint_view> &engines, const role_input &input)
{
    std::vector<role_candidate> changes;
    for (const auto index : representatives(engines)) {
        for (const auto role : allRoles) {
            if (role != engines[index].role && !leavesRoleEmpty(engines, index, role)) {
                changes.push_back(weighChange(engines, index, role, input));
            }
        }
    }
    return changes;
}

void choose(role_result &result, const role_candidate &candidate, std::string_view reason)
{
    result.endpoint = candidate.endpoint;
    result.role = candidate.role;
    result.reason = reason;
}

struct role_visitor
{
    const role_input &input;

    role_result operator()(const break_even_roles &) const
    {
        role_result result;
        if (input.sinceLastChangeMs < toMs(tunables::roleChangeSpacing)) {
            result.reason = "the last change is too recent to show its effect";
            return result;
        }
        result.candidates = possibleChanges(availableEngines(input), input);
        const role_candidate *best = nullptr;
        for (auto &candidate : result.candidates) {
            const double net = candidate.gainTokens - candidate.lossTokens * tunables::breakEvenMargin;
            candidate.reason = net > 0 ? "gain exceeds loss" : "loss exceeds gain";
            // A gain within rounding of zero comes from arithmetic, not from the mix.
            if (net > 0.001 * tokensPerSecond(input.shortDemand)
                && (best == nullptr || net > best->gainTokens - best->lossTokens * tunables::breakEvenMargin)) {
                best = &candidate;
            }
        }
        if (best == nullptr) {
            result.reason = "no change pays for the time away";
        } else {
            choose(result, *best, "gain exceeds loss");
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
        const double share = prompt + output > 0 ? prompt / (prompt + output) : 0.5;
        const auto wanted
            = std::clamp<std::ptrdiff_t>(std::lround(share * static_cast<double>(engines.size())), 1, std::max<std::ptrdiff_t>(1, std::ssize(engines) - 1));
        const auto present = std::ranges::count(engines, endpoint_role::Prefill, &role_endpoint_view::role);
        const auto role = present < wanted ? endpoint_role::Prefill : endpoint_role::Decode;
        result.reason = "roles follow the mix";
        if (present == wanted) {
            return result;
        }
        for (const auto index : representatives(engines)) {
            if (engines[index].role != role) {
                result.endpoint = engines[index].id;
                result.role = role;
            }
        }
        return result;
    }
};

}

role_output expectedOutput(const std::vector<role_endpoint_view> &engines, const token_demand &demand)
{
    const capacity available = sumCapacity(engines);
    const token_demand needed = withHeadroom(demand);
    role_output best;
    for (int step = 0; step <= mixedSplitSteps; ++step) {
        const double split = static_cast<double>(step) / mixedSplitSteps;
        const double prompt = available.fixed.promptTokensPerSecond + available.mixed.promptTokensPerSecond * split;
        const double output = available.fixed.outputTokensPerSecond + available.mixed.outputTokensPerSecond * (1 - split);
        const double promptPart = servedPart(prompt, needed.promptTokensPerSecond);
        const double outputPart = servedPart(output, needed.outputTokensPerSecond);
        best.wholeAnswers = std::max(best.wholeAnswers, std::min(promptPart, outputPart) * tokensPerSecond(demand));
        best.work = std::max(best.work, tokensPerSecond({demand.promptTokensPerSecond * promptPart, demand.outputTokensPerSecond * outputPart}));
    }
    return best;
}

role_result decideRole(const role_input &input)
{
    const bool changing = std::ranges::any_of(input.endpoints, &role_endpoint_view::changingRole);
    if (changing || input.orderOpen) {
        return {.reason = "another change of the group is under way"};
    }
    return std::visit(role_visitor{input}, input.policy);
}

}
