#include "serving/ejection_log.h"
#include "serving/ejection_watch.h"
#include "serving/placement.h"
#include "serving/placement_log.h"
#include "serving/retry_budget.h"

#include <absl/strings/str_cat.h>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

const instant begin{std::chrono::hours(1)};

/// How a simulated endpoint answers.
struct behaviour
{
    double workMs = 40;
    double errorRate = 0;
    bool resets = false; ///< Resets each connection 0.3 ms after the request.
};

/// Repeatable calls of one daemon to a plain service on a virtual clock: placed, sent, repeated within the retry budget and judged as the daemon does it.
class call_simulation
{
public:
    explicit call_simulation(std::vector<behaviour> endpoints, bool ejects = true, std::uint64_t seed = 1)
        : m_behaviours(std::move(endpoints))
        , m_ejects(ejects)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < m_behaviours.size(); ++i) {
            registry.update({.id = absl::StrCat("e", i), .service = "desk", .slots = 6});
        }
    }

    /// Runs calls at an even rate and returns the fraction that was served on the first or second attempt.
    double run(int calls, double perSecond)
    {
        int served = 0;
        for (int i = 0; i < calls; ++i) {
            const instant at = now + std::chrono::microseconds(std::llround(1e6 / perSecond));
            advanceTo(at);
            m_budget.noteRequest("desk", now);
            dispatch({}, served);
        }
        advanceTo(now + 2s);
        return static_cast<double>(served) / calls;
    }

    endpoint_registry registry;
    shared_sums sums;
    instant now = begin;
    int ejections = 0;

private:
    void advanceTo(instant at)
    {
        while (!m_events.empty() && m_events.begin()->first <= at) {
            now = m_events.begin()->first;
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        now = at;
    }

    void dispatch(const std::set<std::string> &failed, int &served)
    {
        const auto endpoints = registry.ofService("desk");
        if (m_ejects) {
            const auto changes = decideEjections(makeEjectionInput("desk", endpoints, sums, now));
            applyEjections(endpoints, changes, now);
            ejections += static_cast<int>(std::ranges::count_if(changes, &ejection_change::ejects));
        }
        const auto ejected = ejectedEndpoints(endpoints, failed, true, now);
        service_input input{.workMs = 40, .remainingMs = 1000, .onTimeMs = 300};
        for (const auto &endpoint : endpoints) {
            const bool excluded = !endpoint->usable(now) || failed.contains(endpoint->entry.id) || std::ranges::find(ejected, endpoint.get()) != ejected.end();
            input.endpoints.push_back({.id = endpoint->entry.id,
                                       .local = true,
                                       .excluded = excluded,
                                       .running = endpoint->own.running,
                                       .slots = 6,
                                       .failureRate = m_ejects ? toHundredth(endpoint->ejection.lossRate(now)) : 0});
        }
        const auto placement = placeService(input);
        if (placement.endpoint < 0 || (!failed.empty() && !m_budget.tryAcquire("desk", 5, now))) {
            return;
        }
        const auto &endpoint = endpoints[static_cast<std::size_t>(placement.endpoint)];
        const auto &how = m_behaviours[static_cast<std::size_t>(placement.endpoint)];
        endpoint->ejection.noteSent(now);
        const bool error = std::bernoulli_distribution(how.errorRate)(m_random);
        const auto time = std::chrono::microseconds(std::llround(1000 * (how.resets ? 0.3 : how.workMs)));
        const auto reservation = std::make_shared<load_reservation>(endpoint, 0);
        m_events.emplace(now + time, [this, endpoint, reservation, failed, error, resets = how.resets, &served]() mutable {
            reservation->release();
            const auto result = resets ? attempt_result::ConnectionLost : error ? attempt_result::Failed : attempt_result::Succeeded;
            registry.noteResult(*endpoint, result, now);
            served += result == attempt_result::Succeeded ? 1 : 0;
            if (result != attempt_result::Succeeded && failed.empty()) {
                dispatch({endpoint->entry.id}, served);
            }
        });
    }

    std::vector<behaviour> m_behaviours;
    bool m_ejects;
    std::mt19937_64 m_random;
    retry_budget m_budget{retry_limits{}};
    std::multimap<instant, std::function<void()>> m_events;
};

/// Endpoints of one service without a load; outcomes are noted by hand.
class ejection_test : public testing::Test
{
protected:
    void add(int count, std::optional<endpoint_role> role = std::nullopt)
    {
        for (int i = 0; i < count; ++i) {
            registry.update({.id = absl::StrCat("e", registry.all().size()), .service = "desk", .role = role});
        }
    }
    ejection_state &state(std::size_t index)
    {
        return registry.ofService("desk").at(index)->ejection;
    }
    std::vector<ejection_change> decide()
    {
        const auto endpoints = registry.ofService("desk");
        auto changes = decideEjections(makeEjectionInput("desk", endpoints, sums, now));
        applyEjections(endpoints, changes, now);
        return changes;
    }
    std::size_t passedOverNow(bool repeatable = true, const std::set<std::string> &failed = {})
    {
        return ejectedEndpoints(registry.ofService("desk"), failed, repeatable, now).size();
    }
    void loseAll(int times)
    {
        for (const auto &endpoint : registry.ofService("desk")) {
            for (int i = 0; i < times; ++i) {
                endpoint->ejection.noteLoss(now);
            }
        }
    }

    endpoint_registry registry;
    shared_sums sums;
    instant now = begin;
};

}

// Guards against an endpoint that resets connections at once, looks like the fastest one, and uses up the retry budget. The scenario must show the fault
// where nothing is ejected.
TEST(ejection_simulation, an_endpoint_that_resets_at_once_does_not_attract_the_calls)
{
    const std::vector<behaviour> endpoints{{}, {}, {.resets = true}};
    EXPECT_LT(call_simulation(endpoints, false).run(2000, 100), 0.9);
    EXPECT_GE(call_simulation(endpoints).run(2000, 100), 0.95);
    EXPECT_GE(call_simulation(endpoints).run(200, 10), 0.95);
    // At this rate the other two are nearly full, so that the cost of placement alone does not keep calls away.
    EXPECT_GE(call_simulation(endpoints).run(4000, 290), 0.95);
}

// Guards against ejections because of the error answers that all endpoints give to reads.
TEST(ejection_simulation, error_answers_of_all_endpoints_eject_none)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        call_simulation calls(std::vector<behaviour>(4, {.errorRate = 0.14}), true, seed);
        calls.run(5000, 100);
        EXPECT_EQ(calls.ejections, 0) << "seed " << seed;
    }
}

// Guards against an endpoint that answers everything with an error beside others that answer some reads so.
TEST(ejection_simulation, an_endpoint_with_errors_only_is_ejected)
{
    call_simulation calls({{.errorRate = 0.14}, {.workMs = 1, .errorRate = 1}, {.errorRate = 0.14}});
    calls.run(1000, 100);
    EXPECT_GT(calls.ejections, 1);
    EXPECT_EQ(calls.registry.find("e1")->ejection.phase(calls.now - 2s) == ejection_phase::Serving, false);
    EXPECT_EQ(calls.registry.find("e0")->ejection.phase(calls.now), ejection_phase::Serving);
}

// Guards against a service without endpoints because all of them fail, and against the ejection of the only one of its kind.
TEST_F(ejection_test, at_most_half_of_the_endpoints_are_ejected)
{
    for (const int count : {1, 2, 3, 5, 8}) {
        registry = {};
        add(count);
        for (int k = 0; k < 5; ++k) {
            state(0).noteLoss(now);
        }
        decide();
        EXPECT_EQ(passedOverNow(), count > 1 ? 1U : 0U);
        for (int round = 0; round < 40; ++round) {
            // The first ones fail before the others, so that they differ from them.
            for (int i = 0; i < count; ++i) {
                for (int k = 0; k < 6; ++k) {
                    state(static_cast<std::size_t>(i)).noteLoss(now);
                }
                decide();
                EXPECT_LE(passedOverNow(false), static_cast<std::size_t>(count / 2));
            }
            now += 150ms;
        }
    }
    registry = {};
    add(3, endpoint_role::Prefill);
    add(1, endpoint_role::Decode);
    for (int k = 0; k < 9; ++k) {
        state(3).noteLoss(now);
    }
    EXPECT_TRUE(decide().empty());
}

// Guards against a service that keeps too few endpoints because others became unreachable or left after an ejection.
TEST_F(ejection_test, ejected_endpoints_are_used_when_others_become_unavailable)
{
    add(4);
    for (int k = 0; k < 5; ++k) {
        state(0).noteLoss(now);
        state(1).noteLoss(now);
    }
    EXPECT_EQ(decide().size(), 2U);
    EXPECT_EQ(passedOverNow(), 2U);
    EXPECT_EQ(passedOverNow(true, {"e2"}), 2U);
    EXPECT_EQ(passedOverNow(true, {"e2", "e3"}), 0U) << "nothing else is left for the request";
    registry.ofService("desk")[2]->downUntil = now + 1s;
    EXPECT_EQ(passedOverNow(), 1U);
    registry.ofService("desk")[3]->entry.draining = true;
    EXPECT_EQ(passedOverNow(), 1U);
    registry.ofService("desk")[1]->entry.draining = true;
    EXPECT_EQ(passedOverNow(), 0U);
}

// Guards against a daemon that ejects all endpoints, or does not try them soon, because all its exchanges timed out while it was frozen.
TEST_F(ejection_test, a_frozen_daemon_keeps_half_and_tries_the_others_within_a_second)
{
    add(6);
    for (std::size_t i = 0; i < 6; ++i) {
        for (int k = 0; k < 8; ++k) {
            state(i).noteLoss(now);
        }
        decide();
    }
    EXPECT_GE(passedOverNow(), 1U);
    EXPECT_LE(passedOverNow(), 3U);
    now += 1s;
    EXPECT_EQ(passedOverNow(false), 0U);
}

// Guards against ejections that stay short for an endpoint that fails every trial, or long for one that has served since.
TEST_F(ejection_test, the_time_grows_with_failed_trials_and_shrinks_while_the_endpoint_serves)
{
    add(3);
    std::vector<double> times;
    const auto failTrial = [&] {
        now = state(0).ejectedUntil();
        EXPECT_TRUE(state(0).takesTrial(true, now));
        EXPECT_TRUE(state(0).noteSent(now));
        EXPECT_FALSE(state(0).takesTrial(true, now)) << "one trial at a time";
        state(0).noteLoss(now);
        times.push_back(decide().at(0).forMs);
    };
    for (int k = 0; k < 5; ++k) {
        state(0).noteLoss(now);
    }
    times.push_back(decide().at(0).forMs);
    for (int trial = 0; trial < 4; ++trial) {
        failTrial();
    }
    EXPECT_EQ(times, (std::vector<double>{500, 1000, 2000, 4000, 4000}));
    now = state(0).ejectedUntil();
    for (int k = 0; k < 3; ++k) {
        EXPECT_EQ(state(0).phase(now), ejection_phase::Trial);
        state(0).noteAnswer(now);
    }
    EXPECT_FALSE(decide().at(0).ejects);
    EXPECT_EQ(state(0).phase(now), ejection_phase::Serving);
    EXPECT_EQ(state(0).level(now), 3);
    EXPECT_EQ(state(0).level(now + 11s), 1);
    EXPECT_EQ(state(0).level(now + 1min), 0);
}

// Guards against a fleet in which no daemon sees enough failures to act, against ejections on the word of a single daemon, and against a daemon that can't
// decide without reports.
TEST_F(ejection_test, daemons_that_each_see_one_loss_act_on_the_sum)
{
    constexpr int fleet = 84;
    const auto attempts = [](const endpoint_registry &of) {
        return sumKey(sum_purpose::EndpointAttempts, of.all().at(0)->hash);
    };
    const auto losses = [](const endpoint_registry &of) {
        return sumKey(sum_purpose::EndpointFailures, of.all().at(0)->hash);
    };
    add(4);
    shared_outcomes shared;
    state(0).noteLoss(now);
    EXPECT_TRUE(decide().empty());
    shareOutcomes(registry, sums, shared, now);
    EXPECT_EQ(sums.own(losses(registry)), 1);
    sums.setOthers({losses(registry), 2});
    sums.setOthers({attempts(registry), 10});
    EXPECT_TRUE(decide().empty()) << "one other daemon lost many attempts";
    sums.setOthers({losses(registry), fleet - 1});
    sums.setOthers({attempts(registry), fleet - 1});
    state(0).noteAnswer(now);
    EXPECT_TRUE(decide().empty()) << "its own attempt was answered";
    now += 2s;
    const auto changes = decide();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].reason, "losses of all daemons");
    // A daemon that loses everything reports little, and nothing once it is over.
    loseAll(50);
    shareOutcomes(registry, sums, shared, now);
    EXPECT_LE(sums.own(losses(registry)), 2);
    EXPECT_LE(sums.size(), 16U);
    now += 10s;
    shareOutcomes(registry, sums, shared, now);
    EXPECT_EQ(sums.own(losses(registry)), 0);
}

// Guards against reports that are no numbers, or impossible ones, which reach beyond the one endpoint that they are about.
TEST_F(ejection_test, impossible_reports_affect_one_endpoint_at_most)
{
    add(4);
    const auto key = [&](sum_purpose purpose, std::size_t index) {
        return sumKey(purpose, registry.ofService("desk").at(index)->hash);
    };
    for (const double value : {std::numeric_limits<double>::quiet_NaN(), -5.0, -std::numeric_limits<double>::infinity()}) {
        sums.setOthers({key(sum_purpose::EndpointFailures, 0), value});
        sums.setOthers({key(sum_purpose::EndpointAttempts, 0), 1});
        EXPECT_TRUE(decide().empty());
    }
    sums.setOthers({key(sum_purpose::EndpointFailures, 0), 1e300});
    sums.setOthers({key(sum_purpose::EndpointAttempts, 0), -1e300});
    EXPECT_EQ(decide().size(), 1U);
    EXPECT_EQ(passedOverNow(), 1U);
}

// Guards against a new process that pays for the failures of the one before.
TEST_F(ejection_test, a_new_process_starts_without_an_ejection)
{
    add(2);
    for (int k = 0; k < 5; ++k) {
        state(0).noteLoss(now);
    }
    decide();
    EXPECT_EQ(state(0).phase(now), ejection_phase::Ejected);
    registry.update({.id = "e0", .service = "desk", .startedMs = 77});
    EXPECT_EQ(state(0).phase(now), ejection_phase::Serving);
    EXPECT_TRUE(decide().empty());
}

// Guards against ejections that can't be replayed from the log because an input is missing or rounded, and against a replay that accepts any result.
TEST(ejection_log, replays_each_change)
{
    std::mt19937_64 random(3);
    const auto upTo = [&](int most) {
        return std::uniform_int_distribution<int>(0, most)(random);
    };
    replay_counts counts;
    int changes = 0;
    for (int round = 0; round < 200; ++round) {
        ejection_input input{.service = "desk"};
        for (int i = 0; i < 6; ++i) {
            const attempt_counts own{toHundredth(upTo(900) / 7.0 + 60), toHundredth(upTo(300) / 7.0), toHundredth(upTo(100) / 7.0)};
            input.endpoints.push_back({.id = absl::StrCat("e", i),
                                       .prefills = upTo(3) == 0,
                                       .available = upTo(5) > 0,
                                       .phase = static_cast<ejection_phase>(upTo(2)),
                                       .own = own,
                                       .lossesInRow = upTo(6),
                                       .errorsInRow = upTo(9),
                                       .othersAttempts = toHundredth(upTo(800) / 7.0 + 30),
                                       .othersLosses = toHundredth(upTo(200) / 7.0),
                                       .answeredLately = upTo(1) == 1,
                                       .level = upTo(3),
                                       .trialAnswers = upTo(4),
                                       .trialErrors = upTo(3),
                                       .trialLosses = upTo(1)});
        }
        for (const auto &change : decideEjections(input)) {
            log_line line(1, change.ejects ? ejectedEvent : restoredEvent);
            logEjection(line, input, change);
            auto text = line.take();
            ASSERT_EQ(parseEjection(text)->value(), input);
            EXPECT_TRUE(replayPlacement(text, engine_model(), counts).ok());
            text.replace(text.find("\"for_ms\":") + 9, 1, "7");
            EXPECT_FALSE(replayPlacement(text, engine_model(), counts).ok());
            ++changes;
        }
    }
    EXPECT_GT(changes, 100);
    EXPECT_EQ(counts.decisions, 2 * changes);
    EXPECT_FALSE(replayPlacement(R"({"event":"endpoint_ejected","endpoint":"e1"})", engine_model(), counts).ok());
}

}
