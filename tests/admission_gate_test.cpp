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

std::string firstOfReference(const fair_queue &queue)
{
    const auto order = orderWaiting(queue.describe()).requests;
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

// Guards against an index that lets another request run first than the reference order, for a queue that drains.
TEST(fair_queue, drains_in_the_reference_order)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 generator(seed);
        fair_queue queue;
        for (std::uint64_t arrival = 1; arrival <= 40; ++arrival) {
            queue.add(randomEntry(generator, arrival));
        }
        const auto reference = orderWaiting(queue.describe()).requests;
        std::vector<std::string> order;
        while (const auto first = queue.first()) {
            order.push_back(std::to_string(*first));
            queue.serve(*first);
        }
        ASSERT_EQ(order, reference) << "seed " << seed;
    }
}

// Guards against the same while requests arrive, leave and are served out of turn in any sequence.
TEST(fair_queue, keeps_the_reference_order_through_random_changes)
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
            ASSERT_EQ(queue.first() ? std::to_string(*queue.first()) : "", firstOfReference(queue)) << "seed " << seed << " step " << step;
            ASSERT_EQ(queue.size(), waiting.size());
        }
    }
}

// Guards against an organisation that was idle and then claims the service that the others got meanwhile.
TEST(fair_queue, newcomers_start_at_the_service_of_the_others)
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

// Guards against counters of the incremental kind that drift from the sum over all organisations.
TEST(admission_gate, counts_the_weight_of_active_organisations)
{
    admission_gate gate;
    std::mt19937_64 generator(7);
    std::map<std::string, int> running;
    std::vector<admit_input> inside;
    admit_input seen;
    auto who = arrivalAt("g", 1e9);
    who.record = [&](const admit_input &input, const admit_result &) {
        seen = input;
    };
    const auto weightOf = [](const std::string &organisation) {
        return 0.1 * static_cast<double>(1 + organisation.size() + static_cast<unsigned char>(organisation.back()) % 7);
    };
    for (int step = 0; step < 2000; ++step) {
        if (!inside.empty() && generator() % 2 == 0) {
            const auto index = generator() % inside.size();
            gate.leave(inside[index], "g");
            --running[inside[index].organisation];
            inside.erase(inside.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        const std::string organisation = "o" + std::to_string(generator() % 50);
        inside.push_back({.organisation = organisation, .keyId = "k", .weight = weightOf(organisation), .promptTokens = 10, .remainingMs = 1000});
        ASSERT_EQ(gate.enter(inside.back(), who).verdict, admit_verdict::Admit);
        ++running[organisation];
        double expected = 0;
        for (const auto &[name, count] : running) {
            expected += count > 0 ? weightOf(name) : 0;
        }
        ASSERT_NEAR(seen.activeWeight, expected, 1e-6) << "step " << step;
        ASSERT_EQ(seen.keyInFlight, static_cast<int>(inside.size()) - 1);
    }
}

// Guards against demand that leaves out waiting requests or still counts those that have left, which would give this daemon a wrong share.
TEST(admission_gate, tells_the_weighted_demand_of_each_group)
{
    admission_gate gate;
    // Another organisation than at group b: what an organisation has in flight counts against its share of every group.
    const admit_input elsewhere{.organisation = "p", .promptTokens = 10, .maxOutputTokens = 20, .remainingMs = 1000};
    const admit_input request{.organisation = "o", .promptTokens = 10, .maxOutputTokens = 20, .remainingMs = 1000};
    const double cost = requestCost(10, 20);
    EXPECT_TRUE(gate.demand().empty());
    ASSERT_EQ(gate.enter(elsewhere, arrivalAt("a", 1000)).verdict, admit_verdict::Admit);
    ASSERT_EQ(gate.enter(request, arrivalAt("b", 1)).verdict, admit_verdict::Admit); // Nothing else runs there, so one may.
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
    gate.leave(elsewhere, "a");
    ASSERT_EQ(gate.demand().size(), 1U);
    EXPECT_EQ(gate.demand()[0].weightedTokens, cost);
    gate.leave(request, "b");
    EXPECT_TRUE(gate.demand().empty());
}

}
