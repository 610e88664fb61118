#include "coordination/provision_planner.h"

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

/// The expected fleet after pending orders and the steps planned so far.
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

    /// Endpoints left after the worst case: the failure domain with the most reclaimable endpoints loses all of them.
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

/// Endpoints that must remain after the reclaim of any one failure domain.
int requiredEndpoints(const provision_input &input)
{
    return std::max(input.limits.minEndpoints, roundUp(input.demandEndpoints));
}

/// Endpoints to have while nothing is reclaimed.
int targetEndpoints(const provision_input &input)
{
    return std::max(input.limits.minEndpoints, roundUp(input.demandEndpoints * tunables::provisionHeadroom));
}

bool meetsTargets(const fleet &fleet, const provision_input &input)
{
    return fleet.total() >= targetEndpoints(input) && fleet.afterWorstReclaim() >= requiredEndpoints(input);
}

/// The failure domain with the fewest endpoints of a kind, among those where the kind is available.
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

/// Whether the reclaimable endpoints stay within the group's `cheapShare`.
bool withinCheapShare(const fleet &fleet, const provision_input &input)
{
    return fleet.reclaimable() <= input.limits.cheapShare * fleet.total();
}

/// Adds up to `count` endpoints of one kind, each in the domain with the fewest, as far as the kind is available.
fleet withEndpointsAdded(fleet extended, const provision_input &input, bool reclaimable, int count)
{
    for (int added = 0; added < count; ++added) {
        const auto domain = domainForOrder(extended, input, reclaimable);
        if (!domain) {
            break;
        }
        extended.add(*domain, reclaimable, 1);
    }
    return extended;
}

/// Adds the ordinary endpoints that a fleet needs to meet the targets, within the group's limit.
fleet withOrdinaryAdded(const fleet &partial, const provision_input &input)
{
    const int missing = std::max(targetEndpoints(input) - partial.total(), requiredEndpoints(input) - partial.afterWorstReclaim());
    return withEndpointsAdded(partial, input, false, std::min(missing, input.limits.maxEndpoints - partial.total()));
}

double costPerHour(const fleet &fleet, const provision_input &input)
{
    return fleet.reclaimable() * input.reclaimableCostPerHour + (fleet.total() - fleet.reclaimable()) * input.ordinaryCostPerHour;
}

/// Finds the cheapest fleet that meets the targets by trying every number of additional reclaimable endpoints. Other endpoints must cover the
/// loss of the worst domain, so more reclaimable endpoints are not always cheaper.
fleet cheapestFleet(const fleet &present, const provision_input &input)
{
    fleet best = withOrdinaryAdded(present, input);
    if (!std::holds_alternative<cheap_first_provision>(input.policy)) {
        return best;
    }
    const int maxExtra = std::min(input.limits.maxEndpoints - present.total(), tunables::maxProvisionSteps);
    for (int extra = 1; extra <= maxExtra; ++extra) {
        const fleet extended = withEndpointsAdded(present, input, true, extra);
        if (extended.reclaimable() < present.reclaimable() + extra) {
            break;
        }
        const fleet candidate = withOrdinaryAdded(extended, input);
        const bool better = !meetsTargets(best, input) || costPerHour(candidate, input) < costPerHour(best, input);
        if (withinCheapShare(candidate, input) && candidate.total() <= input.limits.maxEndpoints && meetsTargets(candidate, input) && better) {
            best = candidate;
        }
    }
    return best;
}

/// Appends orders for the difference between two fleets, one step per failure domain and kind.
void appendOrders(const fleet &present, const fleet &wanted, provision_result &result)
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

/// Whether the endpoint has cost more since it last had work than reacquiring it would.
bool idleCostExceedsReacquisition(const provision_endpoint_view &view, const provision_input &input)
{
    return view.idleMs > input.reacquireMs * tunables::releaseCostRatio;
}

/// Releases endpoints that have been idle long enough, the more expensive kind and the longest idle first, while the targets are still met.
void releaseIdle(fleet &fleet, const provision_input &input, provision_result &result)
{
    std::vector<const provision_endpoint_view *> idle;
    for (const auto &view : input.endpoints) {
        if (!view.leaving && idleCostExceedsReacquisition(view, input)) {
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
        if (meetsTargets(after, input) && (view->reclaimable || withinCheapShare(after, input))) {
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
        appendOrders(fleet, wanted, result);
        fleet = wanted;
        result.reason = result.steps.empty() ? "no more endpoints can be had" : "demand or headroom needs more endpoints";
    } else {
        releaseIdle(fleet, input, result);
        result.reason = result.steps.empty() ? "the fleet fits the demand" : "idle endpoints are given back";
    }
    result.headroomMet = fleet.afterWorstReclaim() >= requiredEndpoints(input);
    return result;
}

}
