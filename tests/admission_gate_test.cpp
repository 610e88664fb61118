#include "coordination/admission_gate.h"

#include "coordination/admission.h"
#include "coordination/fair_queue.h"

#include <algorithm>
#include <chrono>
#include <gtest/gtest.h>
#include <random>
#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

std::string firstInReferenceOrder(const fair_queue &queue)
{
    const auto order = orderWaiting(queue.toOrderInput()).requests;
    return order.empty() ? std::string() : order.front();
}

fair_queue::entry randomEntry(std::mt19937_64 &generator, std::uint64_t arrival)
{
    const std::uint64_t organisation = generator() % 12;
    return {.arrival = arrival,
            .organisation = "o" + std::to_string(organisation),
            .weight = 0.5 * static_cast<double>(1 + organisation % 4),
            .costTokens = static_cast<double>(generator() % 50),
            .late = generator() % 4 == 0};
}

admission_gate::arrival arrivalAt(const std::string &group, double freeTokens)
{
    return {
        .group = group,
        .freeGroupTokens =
            [freeTokens] {
                return freeTokens;
            },
        .deadline = instant(60s),
        .now =
            [] {
                return instant(1s);
            },
        .callerGone =
            [] {
                return false;
            },
        .record =
            [](const admit_input &, const admit_result &) {
            },
    };
}

}

// Guards against an order of the queue's index that differs from the reference order while the queue empties.
TEST(fair_queue, drains_in_the_reference_order)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 generator(seed);
        fair_queue queue;
        for (std::uint64_t arrival = 1; arrival <= 40; ++arrival) {
            queue.add(randomEntry(generator, arrival));
        }
        const auto reference = orderWaiting(queue.toOrderInput()).requests;
        std::vector<std::string> order;
        while (const auto first = queue.first()) {
            order.push_back(std::to_string(*first));
            queue.serve(*first);
        }
        ASSERT_EQ(order, reference) << "seed " << seed;
    }
}

// Guards against an order that differs from the reference while requests are added, removed and served out of order at random.
TEST(fair_queue, keeps_the_reference_order_under_random_changes)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 generator(seed);
        fair_queue queue;
        std::vector<std::uint64_t> waiting;
        for (std::uint64_t step = 1; step <= 300; ++step) {
            if (waiting.empty() || generator() % 2 == 0) {
                queue.add(randomEntry(generator, step));
                waiting.push_back(step);
            } else {
                const auto chosen = generator() % 4 == 0 ? waiting[generator() % waiting.size()] : *queue.first();
                std::erase(waiting, chosen);
                generator() % 4 == 0 ? queue.remove(chosen) : queue.serve(chosen);
            }
            ASSERT_EQ(queue.first() ? std::to_string(*queue.first()) : "", firstInReferenceOrder(queue)) << "seed " << seed << " step " << step;
            ASSERT_EQ(queue.size(), waiting.size());
        }
    }
}

// Guards against an organisation that was idle and afterwards catches up on the service that the others received meanwhile.
TEST(fair_queue, new_organisations_start_at_the_service_of_the_others)
{
    fair_queue queue;
    for (std::uint64_t arrival = 1; arrival <= 10; ++arrival) {
        queue.add({.arrival = arrival, .organisation = "early", .costTokens = 100});
    }
    for (int i = 0; i < 5; ++i) {
        queue.serve(*queue.first());
    }
    queue.add({.arrival = 11, .organisation = "late", .costTokens = 140});
    queue.add({.arrival = 12, .organisation = "late", .costTokens = 140});
    std::vector<std::uint64_t> order;
    for (int i = 0; i < 3; ++i) {
        order.push_back(*queue.first());
        queue.serve(order.back());
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{11, 6, 12}));
}

// Guards against an incremental counter that drifts from the sum over all active organisations.
TEST(admission_gate, counts_the_weight_of_active_organisations)
{
    admission_gate gate;
    std::mt19937_64 generator(7);
    std::map<std::string, int> running;
    std::vector<admit_input> admitted;
    admit_input decisionInput;
    auto context = arrivalAt("g", 1e9);
    context.record = [&](const admit_input &input, const admit_result &) {
        decisionInput = input;
    };
    const auto weightOf = [](const std::string &organisation) {
        return 0.1 * static_cast<double>(1 + organisation.size() + static_cast<unsigned char>(organisation.back()) % 7);
    };
    for (int step = 0; step < 2000; ++step) {
        if (!admitted.empty() && generator() % 2 == 0) {
            const auto index = generator() % admitted.size();
            gate.leave(admitted[index], "g");
            --running[admitted[index].organisation];
            admitted.erase(admitted.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        const std::string organisation = "o" + std::to_string(generator() % 50);
        admitted.push_back({.organisation = organisation, .keyId = "k", .weight = weightOf(organisation), .promptTokens = 10, .remainingMs = 1000});
        ASSERT_EQ(gate.enter(admitted.back(), context).verdict, admit_verdict::Admit);
        ++running[organisation];
        double expected = 0;
        for (const auto &[name, count] : running) {
            expected += count > 0 ? weightOf(name) : 0;
        }
        ASSERT_NEAR(decisionInput.activeWeight, expected, 1e-6) << "step " << step;
        ASSERT_EQ(decisionInput.keyInFlight, static_cast<int>(admitted.size()) - 1);
    }
}

// Guards against reported demand without the waiting requests or with completed ones, which gives the daemon a wrong demand share.
TEST(admission_gate, reports_the_weighted_demand_of_each_group)
{
    admission_gate gate;
    // A different organisation than at group b, since an organisation's tokens in flight count against its share of every group.
    const admit_input otherRequest{.organisation = "p", .promptTokens = 10, .maxOutputTokens = 20, .remainingMs = 1000};
    const admit_input request{.organisation = "o", .promptTokens = 10, .maxOutputTokens = 20, .remainingMs = 1000};
    const double cost = requestCost(10, 20);
    EXPECT_TRUE(gate.demand().empty());
    ASSERT_EQ(gate.enter(otherRequest, arrivalAt("a", 1000)).verdict, admit_verdict::Admit);
    ASSERT_EQ(gate.enter(request, arrivalAt("b", 1)).verdict, admit_verdict::Admit); // The first request of an idle group is always admitted.
    std::thread waiting([&] {
        EXPECT_EQ(gate.enter(request, arrivalAt("b", 1)).verdict, admit_verdict::Admit);
    });
    while (gate.waiting() == 0) {
        std::this_thread::yield();
    }
    const auto demand = gate.demand();
    ASSERT_EQ(demand.size(), 2U);
    EXPECT_EQ(demand[0].group, "a");
    EXPECT_EQ(demand[0].weightedTokens, cost);
    EXPECT_EQ(demand[1].weightedTokens, 2 * cost);
    gate.leave(request, "b");
    waiting.join();
    gate.leave(otherRequest, "a");
    ASSERT_EQ(gate.demand().size(), 1U);
    EXPECT_EQ(gate.demand()[0].weightedTokens, cost);
    gate.leave(request, "b");
    EXPECT_TRUE(gate.demand().empty());
}

}
