#include "coordination/fleet_planner.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace lacewinglock
{

namespace
{

struct domain_counts
{
    int ordinary = 0;
    int reclaimable = 0;
};

/// The fleet as it will be once pending orders and the steps planned so far are done.
struct fleet
{
    std::map<std::string, domain_counts> domains;

    int total() const
    {
        int sum = 0;
        for (const auto &[domain, counts] : domains) {
            sum += counts.ordinary + counts.reclaimable;
        }
        return sum;
    }

    int reclaimable() const
    {
        int sum = 0;
        for (const auto &[domain, counts] : domains) {
            sum += counts.reclaimable;
        }
        return sum;
    }

    /// Endpoints left when the worst domain loses all its reclaimable ones.
    int afterWorstReclaim() const
    {
        int worst = 0;
        for (const auto &[domain, counts] : domains) {
            worst = std::max(worst, counts.reclaimable);
        }
        return total() - worst;
    }

    void add(const std::string &domain, bool isReclaimable, int count)
    {
        auto &counts = domains[domain];
        (isReclaimable ? counts.reclaimable : counts.ordinary) += count;
    }
};

fleet expectedFleet(const provision_input &input)
{
    fleet expected;
    for (const auto &domain : input.domains) {
        expected.domains[domain.failureDomain];
    }
    for (const auto &view : input.endpoints) {
        if (!view.leaving) {
            expected.add(view.failureDomain, view.reclaimable, 1);
        }
    }
    for (const auto &order : input.pending) {
        expected.add(order.failureDomain, order.reclaimable, order.count);
    }
    return expected;
}

int roundUp(double value)
{
    const int whole = static_cast<int>(value);
    return whole + (static_cast<double>(whole) < value ? 1 : 0);
}

/// Endpoints that must be left after the reclaim of any one failure domain.
int promisedEndpoints(const provision_input &input)
{
    return std::max(input.limits.minEndpoints, roundUp(input.demandEndpoints));
}

int wantedEndpoints(const provision_input &input)
{
    return std::max(input.limits.minEndpoints, roundUp(input.demandEndpoints * tunables::provisionHeadroom));
}

bool meetsTargets(const fleet &fleet, const provision_input &input)
{
    return fleet.total() >= wantedEndpoints(input) && fleet.afterWorstReclaim() >= promisedEndpoints(input);
}

/// The failure domain with the fewest endpoints of a kind that can still be had there.
std::optional<std::string> domainForOrder(const fleet &fleet, const provision_input &input, bool reclaimable)
{
    std::optional<std::string> best;
    auto bestKey = std::tuple(0, 0);
    for (const auto &domain : input.domains) {
        if (!(reclaimable ? domain.reclaimableAvailable : domain.ordinaryAvailable)) {
            continue;
        }
        const auto &counts = fleet.domains.at(domain.failureDomain);
        const auto key = std::tuple(reclaimable ? counts.reclaimable : counts.ordinary, counts.ordinary + counts.reclaimable);
        if (!best || key < bestKey) {
            best = domain.failureDomain;
            bestKey = key;
        }
    }
    return best;
}

bool cheapShareKept(const fleet &fleet, const provision_input &input)
{
    return fleet.reclaimable() <= input.limits.cheapShare * fleet.total();
}

/// The fleet with some endpoints of one kind added where the fewest are; as many as can be had.
fleet withAdded(fleet grown, const provision_input &input, bool reclaimable, int count)
{
    for (int added = 0; added < count; ++added) {
        const auto domain = domainForOrder(grown, input, reclaimable);
        if (!domain) {
            break;
        }
        grown.add(*domain, reclaimable, 1);
    }
    return grown;
}

/// Adds the ordinary endpoints that a fleet lacks.
fleet completed(const fleet &partial, const provision_input &input)
{
    const int lacking = std::max(wantedEndpoints(input) - partial.total(), promisedEndpoints(input) - partial.afterWorstReclaim());
    return withAdded(partial, input, false, std::min(lacking, input.limits.maxEndpoints - partial.total()));
}

double costPerHour(const fleet &fleet, const provision_input &input)
{
    return fleet.reclaimable() * input.reclaimableCostPerHour + (fleet.total() - fleet.reclaimable()) * input.ordinaryCostPerHour;
}

/// The cheapest fleet that meets the targets, over all numbers of additional reclaimable endpoints. Endpoints lost with the worst domain
/// must be covered by others, so more reclaimable endpoints are not always cheaper.
fleet cheapestFleet(const fleet &present, const provision_input &input)
{
    fleet best = completed(present, input);
    if (!std::holds_alternative<cheap_first_provision>(input.policy)) {
        return best;
    }
    const int room = std::min(input.limits.maxEndpoints - present.total(), tunables::maxProvisionSteps);
    for (int extra = 1; extra <= room; ++extra) {
        const fleet grown = withAdded(present, input, true, extra);
        if (grown.reclaimable() < present.reclaimable() + extra) {
            break;
        }
        const fleet candidate = completed(grown, input);
        const bool better = !meetsTargets(best, input) || costPerHour(candidate, input) < costPerHour(best, input);
        if (cheapShareKept(candidate, input) && candidate.total() <= input.limits.maxEndpoints && meetsTargets(candidate, input) && better) {
            best = candidate;
        }
    }
    return best;
}

/// Orders the difference between two fleets, one step per failure domain and kind.
void orderDifference(const fleet &present, const fleet &wanted, provision_result &result)
{
    for (const auto &[domain, counts] : wanted.domains) {
        const auto &before = present.domains.at(domain);
        if (const int count = counts.reclaimable - before.reclaimable; count > 0) {
            result.steps.push_back({.failureDomain = domain, .reclaimable = true, .count = count, .reason = "cheapest fleet that keeps the headroom"});
        }
        if (const int count = counts.ordinary - before.ordinary; count > 0) {
            result.steps.push_back({.failureDomain = domain, .reclaimable = false, .count = count, .reason = "not covered by the cheaper kind"});
        }
    }
}

/// Idle cost since the last work against the cost of getting the endpoint back.
bool idleCostExceedsReturn(const provision_endpoint_view &view, const provision_input &input)
{
    return view.idleMs > input.reacquireMs * tunables::releaseCostRatio;
}

/// Gives back endpoints that have been idle long enough, the more expensive kind and the longest idle first, while the targets hold.
void releaseIdle(fleet &fleet, const provision_input &input, provision_result &result)
{
    std::vector<const provision_endpoint_view *> idle;
    for (const auto &view : input.endpoints) {
        if (!view.leaving && idleCostExceedsReturn(view, input)) {
            idle.push_back(&view);
        }
    }
    const bool ordinaryFirst = input.ordinaryCostPerHour >= input.reclaimableCostPerHour;
    std::ranges::sort(idle, [&](const auto *left, const auto *right) {
        const auto key = [&](const provision_endpoint_view &view) {
            return std::tuple(view.reclaimable == ordinaryFirst, -view.idleMs, view.id);
        };
        return key(*left) < key(*right);
    });
    for (const auto *view : idle) {
        auto after = fleet;
        after.add(view->failureDomain, view->reclaimable, -1);
        if (meetsTargets(after, input) && (view->reclaimable || cheapShareKept(after, input))) {
            fleet = after;
            result.steps.push_back({.failureDomain = view->failureDomain,
                                    .reclaimable = view->reclaimable,
                                    .count = -1,
                                    .release = {view->id},
                                    .reason = "idle for longer than it takes to get it back"});
        }
    }
}

}

provision_result decideProvision(const provision_input &input)
{
    provision_result result;
    fleet fleet = expectedFleet(input);
    if (!meetsTargets(fleet, input)) {
        const auto wanted = cheapestFleet(fleet, input);
        orderDifference(fleet, wanted, result);
        fleet = wanted;
        result.reason = result.steps.empty() ? "no more endpoints can be had" : "demand or headroom needs more endpoints";
    } else {
        releaseIdle(fleet, input, result);
        result.reason = result.steps.empty() ? "the fleet fits the demand" : "idle endpoints are given back";
    }
    result.headroomMet = fleet.afterWorstReclaim() >= promisedEndpoints(input);
    return result;
}

}
