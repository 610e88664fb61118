#include "coordination/address_planner.h"
#include "coordination/provision_planner.h"
#include "coordination/role_planner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace lacewinglock
{

namespace
{

/// Four engines for prefill (32,000 tokens/s) and four for decode (10,400 tokens/s).
role_input evenSplit()
{
    role_input input{.changeMs = 8000, .sinceLastChangeMs = 600000};
    for (int index = 0; index < 8; ++index) {
        input.endpoints.push_back({.id = "e" + std::to_string(index), .role = index < 4 ? endpoint_role::Prefill : endpoint_role::Decode});
    }
    return input;
}

provision_input threeDomains()
{
    provision_input input{.limits = {.minEndpoints = 2, .maxEndpoints = 40, .cheapShare = 0.8}, .demandEndpoints = 6, .reacquireMs = 60000};
    input.domains = {{.failureDomain = "fd1"}, {.failureDomain = "fd2"}, {.failureDomain = "fd3"}};
    return input;
}

void addEndpoints(provision_input &input, const std::string &domain, bool reclaimable, int count, double idleMs = 0)
{
    for (int index = 0; index < count; ++index) {
        const std::string id = domain + (reclaimable ? "-cheap-" : "-ordinary-") + std::to_string(index);
        input.endpoints.push_back({.id = id, .failureDomain = domain, .reclaimable = reclaimable, .idleMs = idleMs});
    }
}

/// Endpoints of one kind that the steps order, less those that they release.
int orderedCount(const provision_result &result, bool reclaimable)
{
    int sum = 0;
    for (const auto &step : result.steps) {
        sum += step.reclaimable == reclaimable ? step.count : 0;
    }
    return sum;
}

}

// Guards against engines that stay in a role for which the demand has fallen.
TEST(role_planner, changes_when_the_gain_exceeds_the_loss)
{
    auto input = evenSplit();
    input.shortDemand = {.promptTokensPerSecond = 38000, .outputTokensPerSecond = 4000};
    input.longDemand = input.shortDemand;
    const auto result = decideRole(input);
    EXPECT_EQ(result.role, endpoint_role::Prefill);
    EXPECT_EQ(result.endpoint, "e4");
}

// Guards against a role change for a shift of the demand that ends before the engine is back in service.
TEST(role_planner, keeps_roles_when_the_loss_exceeds_the_gain_of_a_short_shift)
{
    auto input = evenSplit();
    input.shortDemand = {.promptTokensPerSecond = 30000, .outputTokensPerSecond = 9500};
    input.longDemand = {.promptTokensPerSecond = 24000, .outputTokensPerSecond = 9000};
    EXPECT_EQ(decideRole(input).endpoint, "");
    input.policy = follow_mix_roles{};
    input.shortDemand = {.promptTokensPerSecond = 30000, .outputTokensPerSecond = 5000};
    EXPECT_EQ(decideRole(input).role, endpoint_role::Prefill);
    EXPECT_NE(decideRole(input).endpoint, "");
}

// Guards against a break-even rule that ignores how long an engine is out of service.
TEST(role_planner, a_longer_change_needs_a_larger_gain)
{
    auto input = evenSplit();
    input.shortDemand = {.promptTokensPerSecond = 34000, .outputTokensPerSecond = 8000};
    input.longDemand = {.promptTokensPerSecond = 30000, .outputTokensPerSecond = 6000};
    input.changeMs = 1000;
    ASSERT_NE(decideRole(input).endpoint, "");
    input.changeMs = 600000;
    EXPECT_EQ(decideRole(input).endpoint, "");
}

// Guards against two engines of a group being out of service for role changes at once.
TEST(role_planner, one_change_per_group_at_a_time)
{
    auto input = evenSplit();
    input.shortDemand = {.promptTokensPerSecond = 60000, .outputTokensPerSecond = 1000};
    input.longDemand = input.shortDemand;
    ASSERT_NE(decideRole(input).endpoint, "");
    input.endpoints[4].changingRole = true;
    EXPECT_EQ(decideRole(input).endpoint, "");
    input.endpoints[4].changingRole = false;
    input.orderOpen = true;
    EXPECT_EQ(decideRole(input).endpoint, "");
}

// Guards against a change that leaves a group without decode engines.
TEST(role_planner, keeps_one_engine_for_each_role)
{
    auto input = evenSplit();
    input.endpoints.resize(5);
    input.shortDemand = {.promptTokensPerSecond = 90000, .outputTokensPerSecond = 0};
    input.longDemand = input.shortDemand;
    const auto result = decideRole(input);
    EXPECT_TRUE(result.endpoint.empty() || result.role == endpoint_role::Mixed);
}

// Guards against a fleet that no longer covers the demand when all reclaimable endpoints of one failure domain are lost.
TEST(provision_planner, loss_of_one_domain_leaves_the_required_endpoints)
{
    const auto result = decideProvision(threeDomains());
    int total = 0;
    int worst = 0;
    for (const auto &step : result.steps) {
        total += step.count;
        worst = std::max(worst, step.reclaimable ? step.count : 0);
    }
    EXPECT_GE(total - worst, 6);
    EXPECT_GT(orderedCount(result, true), 0);
    EXPECT_LE(orderedCount(result, true), 0.8 * total);
    EXPECT_TRUE(result.headroomMet);
}

// Guards against waiting for reclaimable endpoints while the demand is not covered.
TEST(provision_planner, orders_ordinary_endpoints_when_reclaimable_ones_are_unavailable)
{
    auto input = threeDomains();
    for (auto &domain : input.domains) {
        domain.reclaimableAvailable = false;
    }
    const auto result = decideProvision(input);
    EXPECT_EQ(orderedCount(result, true), 0);
    EXPECT_EQ(orderedCount(result, false), 7);
}

// Guards against repeating an order that the platform has not delivered yet.
TEST(provision_planner, counts_pending_orders)
{
    auto input = threeDomains();
    input.pending = {{.failureDomain = "fd1", .reclaimable = false, .count = 7}};
    EXPECT_TRUE(decideProvision(input).steps.empty());
}

// Guards against counting endpoints that are leaving as capacity.
TEST(provision_planner, replaces_leaving_endpoints)
{
    auto input = threeDomains();
    addEndpoints(input, "fd1", false, 7);
    ASSERT_TRUE(decideProvision(input).steps.empty());
    input.endpoints[0].leaving = true;
    EXPECT_EQ(orderedCount(decideProvision(input), true) + orderedCount(decideProvision(input), false), 1);
}

// Guards against paying for idle endpoints, and against releasing endpoints that must be ordered again at once.
TEST(provision_planner, releases_idle_endpoints_after_the_break_even_time)
{
    auto input = threeDomains();
    addEndpoints(input, "fd1", false, 7);
    addEndpoints(input, "fd2", false, 2, 100000);
    EXPECT_TRUE(decideProvision(input).steps.empty());
    input.endpoints[7].idleMs = 130000;
    input.endpoints[8].idleMs = 140000;
    const auto result = decideProvision(input);
    ASSERT_EQ(result.steps.size(), 2U);
    EXPECT_EQ(result.steps[0].release, std::vector<std::string>{"fd2-ordinary-1"});
    input.demandEndpoints = 7;
    EXPECT_EQ(decideProvision(input).steps.size(), 1U);
}

// Guards against orders that exceed the maxEndpoints of the group.
TEST(provision_planner, stays_within_the_limit_of_the_group)
{
    auto input = threeDomains();
    input.limits.maxEndpoints = 4;
    const auto result = decideProvision(input);
    EXPECT_LE(orderedCount(result, true) + orderedCount(result, false), 4);
    EXPECT_FALSE(result.headroomMet);
}

// Guards against sending callers to a draining or overloaded daemon first, and against lists that begin with daemons of a single failure domain.
TEST(address_planner, orders_daemons_for_a_caller)
{
    address_input input{.organisation = "o1", .callerDomain = "fd2"};
    for (int index = 0; index < 9; ++index) {
        const auto id = "d" + std::to_string(index);
        input.daemons.push_back({.instanceId = id, .address = id, .failureDomain = "fd" + std::to_string(index % 3)});
    }
    const auto first = decideAddresses(input);
    ASSERT_EQ(first.addresses.size(), 9U);
    EXPECT_EQ(decideAddresses(input).addresses, first.addresses);
    const auto find = [&](const std::string &id) -> address_candidate & {
        return *std::ranges::find(input.daemons, id, &address_candidate::instanceId);
    };
    EXPECT_FALSE(find(first.addresses[0]).failureDomain == find(first.addresses[1]).failureDomain
                 && find(first.addresses[1]).failureDomain == find(first.addresses[2]).failureDomain);
    find(first.addresses[0]).draining = true;
    EXPECT_EQ(decideAddresses(input).addresses.back(), first.addresses[0]);
    find(first.addresses[1]).load = 0.95;
    EXPECT_EQ(decideAddresses(input).addresses[7], first.addresses[1]);
}

// Guards against directing all organisations to the same daemons.
TEST(address_planner, spreads_organisations)
{
    address_input input;
    for (int index = 0; index < 9; ++index) {
        const auto id = "d" + std::to_string(index);
        input.daemons.push_back({.instanceId = id, .address = id, .failureDomain = "fd" + std::to_string(index % 3)});
    }
    std::set<std::string> first;
    for (int organisation = 0; organisation < 60; ++organisation) {
        input.organisation = "o" + std::to_string(organisation);
        first.insert(decideAddresses(input).addresses.front());
    }
    EXPECT_GE(first.size(), 6U);
}

}
