#include "standin/fault_schedule.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

struct soak_seeds : testing::TestWithParam<std::uint64_t>
{
};

struct broken_mechanisms : testing::TestWithParam<std::pair<broken_mechanism, invariant>>
{
};

std::uint64_t hashOfRun(std::uint64_t seed)
{
    virtual_cell cell({.seed = seed});
    fault_schedule(cell).run(20s);
    return cell.world().clock.hash();
}

}

// Guards against violated invariants under combined faults. Seeds whose runs found a fault stay in the lists below.
TEST_P(soak_seeds, no_violation)
{
    virtual_cell cell({.seed = GetParam()});
    fault_schedule(cell).run(60s);
    for (const auto &found : cell.violations()) {
        ADD_FAILURE() << "invariant " << static_cast<int>(found.which) << ": " << found.detail;
    }
    // A cell that serves no requests would pass the checks above.
    EXPECT_GT(cell.totals().outcomes.at("finished"), 50);
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_seeds, testing::Range<std::uint64_t>(1, 13), testing::PrintToStringParamName());

// Seeds whose runs found a fault. An order cut a stream: in 159, 5001, 5009 and 5015 because the drain mark had expired before a late order
// arrived; in the other seeds up to 169 because a daemon had not received the drain notice; in 5094, 5140, 5197, 5302 and 5313 because a
// hanging engine was treated as drained. In 5041, 5159, 7266 and 7580 a request was sent to a leaving endpoint, because a restarted daemon
// had not received the notice, or because no daemon had polled the endpoint for more than a second.
INSTANTIATE_TEST_SUITE_P(
    found,
    soak_seeds,
    testing::Values<std::uint64_t>(106, 113, 115, 118, 119, 147, 159, 162, 169, 5001, 5009, 5015, 5041, 5094, 5140, 5159, 5197, 5302, 5313, 7266, 7580),
    testing::PrintToStringParamName());

// Guards against runs that are not reproducible from their seed.
TEST(soak, same_seed_gives_the_same_events)
{
    EXPECT_EQ(hashOfRun(5), hashOfRun(5));
    EXPECT_NE(hashOfRun(5), hashOfRun(6));
}

// Guards against a missing fencing check at engines: the lease holder stalls between its lease check and the write, so its order arrives after
// an order of its successor. Without the check, exactly one violation must be reported.
TEST(soak, order_of_a_former_holder_needs_the_fencing_check)
{
    for (const auto mechanism : {broken_mechanism::None, broken_mechanism::EngineFencing}) {
        virtual_cell cell({.broken = mechanism});
        cell.runFor(8s);
        const std::string holder = cell.holder("orders");
        cell.daemon(holder).stallOrders(30s); // Longer than a successor needs to acquire the lease, drain the endpoint and send its order.
        cell.orderRole("e1", endpoint_role::Prefill);
        cell.runFor(8s); // The holder drains the endpoint before it sends.
        cell.daemon(holder).kill();
        cell.runFor(40s);
        EXPECT_EQ(std::ranges::count(cell.violations(), invariant::NoOrderWithoutAuthority, &violation::which), mechanism == broken_mechanism::None ? 0 : 1);
    }
}

// Guards against checks that do not detect a disabled mechanism.
TEST_P(broken_mechanisms, are_reported)
{
    const auto [mechanism, expected] = GetParam();
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        virtual_cell cell({.seed = seed, .broken = mechanism});
        fault_schedule(cell).run(90s);
        const auto found = std::ranges::find(cell.violations(), expected, &violation::which);
        if (found != cell.violations().end()) {
            return;
        }
    }
    FAIL() << "no run reported invariant " << static_cast<int>(expected);
}

INSTANTIATE_TEST_SUITE_P(each,
                         broken_mechanisms,
                         testing::Values(std::pair(broken_mechanism::OrderContent, invariant::NoConflictingOrders),
                                         std::pair(broken_mechanism::DrainCheck, invariant::NoRequestLostToPlannedChange),
                                         std::pair(broken_mechanism::FreshnessGate, invariant::KeyDecidesOrganisation),
                                         std::pair(broken_mechanism::LeaseCondition, invariant::SingleProvisioner),
                                         std::pair(broken_mechanism::FreezeCondition, invariant::SingleWindowReport),
                                         std::pair(broken_mechanism::AttemptIdCheck, invariant::CompleteOwnResponse),
                                         std::pair(broken_mechanism::FailureOutcome, invariant::NotRunIsTrue),
                                         std::pair(broken_mechanism::ClaimCondition, invariant::AtMostOnce),
                                         std::pair(broken_mechanism::LeavingNotice, invariant::NoWorkForLeaving),
                                         std::pair(broken_mechanism::DrainWait, invariant::GracefulShutdown),
                                         std::pair(broken_mechanism::ConfigCondition, invariant::ConfigurationNeverReverts)));

}
