#include "coordination/request_session.h"

#include "coordination/admission.h"
#include "coordination/admission_gate.h"
#include "coordination/commit_batcher.h"
#include "coordination/endpoint_client.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"
#include "state/endpoint_table.h"
#include "state/suspect_table.h"
#include "state/table_store.h"

#include <absl/status/status.h>
#include <deque>
#include <gtest/gtest.h>
#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// Runs one session on a virtual clock. Answers store, endpoint view, admission and usage effects at once; the test answers the attempts.
struct session_driver
{
    session_request request{
        .requestId = "r1",
        .organisation = "dial",
        .group = "g",
        .fingerprint = "f1",
        .promptTokens = 10,
        .maxOutputTokens = 10,
        .deadline = instant(60s),
        .daemon = "d1",
        .incarnation = "i1",
    };
    memory_table &table;
    suspect_table suspects;
    std::optional<request_session> session;
    instant now{1s};
    std::deque<commit_outcome> commitOutcomes; ///< Outcomes reported instead of the real ones. The commits still take effect unless `dropCommits` is set.
    bool dropCommits = false;
    bool storeDown = false;
    bool endpointsBusy = false;
    int violations = 0;
    invariant_handler previousHandler;

    std::vector<start_attempt_effect> attempts;
    std::vector<std::string> cancelled;
    std::string text;
    std::optional<finish_effect> finish;
    std::optional<service_answer> answer;
    std::optional<refuse_effect> refusal;
    std::vector<usage_record> usage;
    std::vector<std::string> endedClaims;
    bool abandoned = false;

    explicit session_driver(memory_table &store)
        : table(store)
    {
        previousHandler = setInvariantHandler([this](invariant, std::string_view) {
            ++violations;
        });
    }
    ~session_driver()
    {
        setInvariantHandler(previousHandler);
        EXPECT_EQ(violations, 0);
    }
    session_driver(const session_driver &) = delete;
    session_driver &operator=(const session_driver &) = delete;

    void useNonRepeatableCall()
    {
        request.kind = route_kind::Service;
        request.repeatable = false;
        request.idempotencyKeyHash = "h";
    }
    void start()
    {
        session.emplace(request);
        send(start_event{});
    }
    void send(const session_event &event)
    {
        std::vector<session_effect> effects;
        session->handle(event, now, effects);
        for (const auto &effect : effects) {
            std::visit(
                [this](const auto &specific) {
                    perform(specific);
                },
                effect);
        }
    }
    void advance(duration step)
    {
        now += step;
        send(tick_event{});
    }
    void sendToken(std::uint64_t index)
    {
        send(token_event{.attemptId = attempts.back().attemptId, .index = index, .text = std::to_string(index)});
    }
    void endStream(std::uint64_t tokens)
    {
        send(stream_finished_event{.attemptId = attempts.back().attemptId, .finishReason = "stop", .promptTokens = 10, .completionTokens = tokens});
    }
    void failAttempt(attempt_failure failure)
    {
        send(attempt_failed_event{.attemptId = attempts.back().attemptId, .failure = failure});
    }
    void answerServiceCall()
    {
        send(service_answer_event{.attemptId = attempts.back().attemptId, .answer = {.status = 201, .body = "booked"}});
    }

    void perform(const view_endpoints_effect &effect)
    {
        std::vector<endpoint_view> views = {{.id = "e1"}, {.id = "e2"}, {.id = "e3"}};
        for (auto &view : views) {
            view.runningStreams = endpointsBusy ? 1 : 0;
        }
        send(endpoints_viewed_event{.op = effect.op, .endpoints = views, .crashes = suspects.crashes(request.fingerprint, now)});
    }
    void perform(const admit_effect &effect)
    {
        send(admission_event{.op = effect.op, .result = decideAdmission(effect.input)});
    }
    void perform(const read_row_effect &effect)
    {
        if (storeDown) {
            send(row_read_event{.op = effect.op, .result = absl::UnavailableError("down")});
        } else {
            send(row_read_event{.op = effect.op, .result = table.read(effect.key)});
        }
    }
    void perform(const commit_effect &effect)
    {
        auto outcome = dropCommits ? commit_outcome::Unknown : table.commit(effect.change);
        if (!commitOutcomes.empty()) {
            outcome = commitOutcomes.front();
            commitOutcomes.pop_front();
        }
        send(commit_event{.op = effect.op, .outcome = outcome});
    }
    void perform(const start_attempt_effect &effect)
    {
        attempts.push_back(effect);
    }
    void perform(const cancel_attempt_effect &effect)
    {
        cancelled.push_back(effect.attemptId);
    }
    void perform(const deliver_token_effect &effect)
    {
        text += effect.text;
    }
    void perform(const finish_effect &effect)
    {
        EXPECT_TRUE(request.organisation.empty() || usage.size() == 1) << "the last byte was sent before the usage was recorded";
        finish = effect;
    }
    void perform(const deliver_answer_effect &effect)
    {
        answer = effect.answer;
    }
    void perform(const refuse_effect &effect)
    {
        refusal = effect;
    }
    void perform(const abandon_effect &)
    {
        abandoned = true;
    }
    void perform(const record_usage_effect &effect)
    {
        usage.push_back(effect.record);
        send(usage_recorded_event{.op = effect.op});
    }
    void perform(const record_crash_effect &effect)
    {
        if (effect.suspect) {
            suspects.recordCrash(request.fingerprint, now);
        }
    }
    void perform(const clear_suspect_effect &)
    {
        suspects.clear(request.fingerprint);
    }
    void perform(const claim_ended_effect &effect)
    {
        endedClaims.push_back(effect.key);
    }
    void perform(const record_decision_effect &) { }
};

struct session_test : testing::Test
{
    memory_table table;
    session_driver driver{table};
};

}

// Guards against delivering late tokens of an earlier attempt, or tokens of a foreign attempt, to the caller.
TEST_F(session_test, drops_late_and_mismatched_answers)
{
    driver.start();
    driver.sendToken(0);
    const std::string firstAttemptId = driver.attempts.back().attemptId;
    driver.failAttempt(attempt_failure::TimedOut);
    ASSERT_EQ(driver.attempts.size(), 2U);
    EXPECT_NE(driver.attempts.back().attemptId, firstAttemptId);
    driver.send(token_event{.attemptId = firstAttemptId, .index = 1, .text = "late"});
    driver.send(stream_finished_event{.attemptId = firstAttemptId, .completionTokens = 1});
    driver.send(token_event{.attemptId = "somebody-else", .index = 1, .text = "wrong"});
    driver.sendToken(1);
    driver.endStream(2);
    EXPECT_EQ(driver.text, "01");
    ASSERT_TRUE(driver.finish);
    EXPECT_EQ(driver.usage.at(0).figures.outputTokens, 2U);
}

// Guards against delivering a missing or repeated token in the stream of one endpoint.
TEST_F(session_test, resumes_on_another_endpoint_after_a_missing_or_repeated_token)
{
    driver.start();
    driver.sendToken(0);
    driver.sendToken(2);
    EXPECT_EQ(driver.cancelled.size(), 1U);
    ASSERT_EQ(driver.attempts.size(), 2U);
    EXPECT_EQ(driver.attempts[1].resumeFrom, 1U);
    EXPECT_NE(driver.attempts[1].endpoint, driver.attempts[0].endpoint);
    driver.sendToken(1);
    driver.sendToken(1);
    ASSERT_EQ(driver.attempts.size(), 3U);
    driver.sendToken(2);
    driver.endStream(3);
    EXPECT_EQ(driver.text, "012");
    EXPECT_TRUE(driver.finish);
}

// Guards against accepting a truncated stream as a complete answer because it ended with a finish reason.
TEST_F(session_test, does_not_finish_when_the_endpoint_counted_more_tokens)
{
    driver.start();
    driver.sendToken(0);
    driver.endStream(5);
    EXPECT_FALSE(driver.finish);
    ASSERT_EQ(driver.attempts.size(), 2U);
    EXPECT_EQ(driver.attempts[1].resumeFrom, 1U);
}

// Guards against poison requests that crash one endpoint after another, including retries by the caller.
TEST_F(session_test, refuses_a_request_after_its_second_crash)
{
    driver.start();
    driver.endpointsBusy = true;
    driver.failAttempt(attempt_failure::ConnectionLost);
    EXPECT_EQ(driver.attempts.size(), 1U) << "a suspect request must wait for an idle endpoint";
    driver.endpointsBusy = false;
    driver.advance(100ms);
    ASSERT_EQ(driver.attempts.size(), 2U);
    driver.failAttempt(attempt_failure::ConnectionLost);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::Unknown);
    driver.refusal.reset();
    driver.request.requestId = "r2";
    driver.start();
    EXPECT_EQ(driver.attempts.size(), 2U);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::NotRun);
}

// Guards against streams that must wait for an idle endpoint only because another request crashed their endpoint.
TEST_F(session_test, resumes_a_running_stream_on_a_busy_endpoint_after_one_crash)
{
    driver.start();
    driver.sendToken(0);
    driver.endpointsBusy = true;
    driver.failAttempt(attempt_failure::ConnectionLost);
    ASSERT_EQ(driver.attempts.size(), 2U);
    EXPECT_EQ(driver.attempts[1].resumeFrom, 1U);
    EXPECT_EQ(driver.suspects.crashes("f1", driver.now), 0);
}

// Guards against dispatch after the deadline and against a refusal for it with the wrong run state.
TEST_F(session_test, sends_nothing_after_the_deadline)
{
    driver.request.deadline = driver.now;
    driver.start();
    EXPECT_TRUE(driver.attempts.empty());
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::NotRun);
}

// Guards against a refusal that does not report the partial delivery, and against delivered tokens that are not billed.
TEST_F(session_test, ends_a_stream_at_its_deadline_as_partial)
{
    driver.start();
    driver.sendToken(0);
    driver.advance(60s);
    EXPECT_EQ(driver.cancelled.size(), 1U);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::Partial);
    EXPECT_EQ(driver.usage.at(0).figures.outputTokens, 1U);
}

// Guards against endless retries and against run state NotRun after an attempt with unknown outcome.
TEST_F(session_test, refuses_after_the_last_attempt_with_the_correct_run_state)
{
    for (const bool sent : {false, true}) {
        driver.attempts.clear();
        driver.refusal.reset();
        driver.start();
        driver.failAttempt(sent ? attempt_failure::TimedOut : attempt_failure::Refused);
        for (int i = 0; i < 10 && !driver.refusal; ++i) {
            driver.failAttempt(attempt_failure::Refused);
            driver.advance(100ms);
        }
        EXPECT_EQ(driver.attempts.size(), static_cast<std::size_t>(tunables::maxAttempts));
        ASSERT_TRUE(driver.refusal);
        EXPECT_EQ(driver.refusal->state, sent ? run_state::Unknown : run_state::NotRun);
    }
}

// Guards against a call that never runs because the response to its claim commit was lost, and against a run without a claim when the
// commit itself was lost.
TEST_F(session_test, reads_the_claim_back_after_an_unknown_commit_outcome)
{
    driver.useNonRepeatableCall();
    driver.commitOutcomes = {commit_outcome::Unknown};
    driver.start();
    ASSERT_EQ(driver.attempts.size(), 1U);
    driver.answerServiceCall();
    EXPECT_EQ(driver.endedClaims, std::vector<std::string>{"claim/dial/h"});
    ASSERT_TRUE(driver.answer);
    EXPECT_EQ(driver.answer->body, "booked");

    driver.request.idempotencyKeyHash = "other";
    driver.dropCommits = true;
    driver.start();
    EXPECT_EQ(driver.attempts.size(), 1U);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::NotRun);
}

// Guards against dispatching a request whose claim the store cannot confirm.
TEST_F(session_test, sends_nothing_when_the_claim_cannot_be_read_back)
{
    driver.useNonRepeatableCall();
    driver.storeDown = true;
    driver.commitOutcomes = {commit_outcome::Unknown};
    driver.start();
    EXPECT_TRUE(driver.attempts.empty());
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::NotRun);
}

// Guards against a second run after the endpoint failed after sending, and after the daemon that held the claim was restarted.
TEST_F(session_test, refuses_as_unknown_while_a_claim_is_open)
{
    driver.useNonRepeatableCall();
    driver.start();
    driver.failAttempt(attempt_failure::ConnectionLost);
    EXPECT_EQ(driver.attempts.size(), 1U);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::Unknown);
    driver.refusal.reset();
    driver.suspects.clear("f1");
    driver.request.requestId = "r2";
    driver.request.incarnation = "i2";
    driver.start();
    EXPECT_EQ(driver.attempts.size(), 1U);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::Unknown);
}

// Guards against an idempotency key that stays blocked by the open claim of a request that certainly did not run.
TEST_F(session_test, withdraws_the_claim_of_a_request_that_did_not_run)
{
    driver.useNonRepeatableCall();
    driver.start();
    for (int i = 0; i < 10 && !driver.refusal; ++i) {
        driver.failAttempt(attempt_failure::Refused);
        driver.advance(100ms);
    }
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::NotRun);
    driver.request.requestId = "r2";
    driver.start();
    driver.answerServiceCall();
    EXPECT_TRUE(driver.answer);
}

// Guards against a lost outcome: a caller that disconnects during its call gets the stored outcome when it retries, billed once.
TEST_F(session_test, stores_the_outcome_for_a_disconnected_caller)
{
    driver.useNonRepeatableCall();
    driver.start();
    driver.send(caller_gone_event{});
    EXPECT_TRUE(driver.cancelled.empty());
    driver.answerServiceCall();
    EXPECT_TRUE(driver.abandoned);
    EXPECT_FALSE(driver.answer);
    driver.request.requestId = "r2";
    driver.start();
    EXPECT_EQ(driver.attempts.size(), 1U);
    ASSERT_TRUE(driver.answer);
    EXPECT_EQ(driver.answer->body, "booked");
    EXPECT_EQ(driver.usage.size(), 1U);
}

// Guards against retries of a non-repeatable call that may have run and has no idempotency key.
TEST_F(session_test, makes_one_attempt_without_an_idempotency_key)
{
    driver.useNonRepeatableCall();
    driver.request.idempotencyKeyHash.clear();
    driver.start();
    driver.failAttempt(attempt_failure::TimedOut);
    EXPECT_EQ(driver.attempts.size(), 1U);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.refusal->state, run_state::Unknown);
}

// Guards against accepting malformed or truncated streams and chunks of another attempt, however the bytes are split.
TEST(stream_parser, accepts_only_a_complete_stream_of_its_attempt)
{
    const std::string good = "data: {\"id\":\"a\",\"index\":0,\"choices\":[{\"text\":\"x\",\"finish_reason\":\"stop\"}],"
                             "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
    int tokens = 0;
    const auto count = [&](const session_event &) {
        ++tokens;
    };
    stream_parser whole("a", false, count);
    for (const char c : good) {
        ASSERT_TRUE(whole.feed({&c, 1}));
    }
    EXPECT_TRUE(whole.complete());
    EXPECT_EQ(tokens, 1);
    stream_parser truncated("a", false, count);
    EXPECT_TRUE(truncated.feed(good.substr(0, good.find("data: [DONE]"))));
    EXPECT_FALSE(truncated.complete());
    EXPECT_FALSE(stream_parser("b", false, count).feed(good));
    EXPECT_FALSE(stream_parser("a", false, count).feed("data: {\"id\":\"a\"}\n"));
    EXPECT_FALSE(stream_parser("a", false, count).feed("data: nonsense\n"));
    EXPECT_FALSE(stream_parser("a", false, count).feed("data: [DONE]\n"));
}

// Guards against two holders of one claim, and against claims that fail because another claim in their batch conflicts.
TEST(commit_batcher, gives_each_claim_its_own_outcome)
{
    const table_store store(std::make_shared<memory_table>());
    commit_batcher batcher(store);
    store.commit({.writes = {{.key = "taken", .value = "x"}}});
    std::atomic<int> committed = 0;
    std::vector<std::thread> threads;
    for (const char *key : {"a", "a", "b", "c", "taken"}) {
        threads.emplace_back([&batcher, &committed, key] {
            const transaction claim{.conditions = {{.key = key, .version = 0}}, .writes = {{.key = key, .value = "x"}}};
            committed += batcher.commit(claim) == commit_outcome::Committed ? 1 : 0;
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_EQ(committed, 3);
}

// Guards against counting a dispatch that was not started as an attempt, which would use up the attempts or report `unknown` instead of
// `not_run`.
TEST(request_session, routes_again_when_the_attempt_was_not_started)
{
    memory_table table;
    session_driver driver(table);
    driver.start();
    for (int i = 0; i < 10; ++i) {
        ASSERT_EQ(driver.attempts.size(), static_cast<std::size_t>(i) + 1);
        driver.send(attempt_not_started_event{.attemptId = driver.attempts.back().attemptId});
    }
    driver.advance(60s);
    ASSERT_TRUE(driver.refusal);
    EXPECT_EQ(driver.cancelled.size(), 1U);
}

// Guards against other requests at an endpoint that is reserved for a suspect request, whichever request comes first.
TEST(endpoint_table, reserves_an_idle_endpoint)
{
    configuration config;
    config.groups["g"] = {};
    config.endpoints["e"] = {.group = "g", .address = "127.0.0.1:1"};
    endpoint_table table;
    table.configure(config);
    const instant now{1s};
    ASSERT_TRUE(table.beginAttempt("e", {.attemptId = "other", .promptTokens = 1}, {}, now));
    EXPECT_FALSE(table.beginAttempt("e", {.attemptId = "suspect", .promptTokens = 1, .exclusive = true}, {}, now));
    table.endAttempt("e", "other", {}, 0, -1, now);
    ASSERT_TRUE(table.beginAttempt("e", {.attemptId = "suspect", .promptTokens = 1, .exclusive = true}, {}, now));
    EXPECT_TRUE(table.viewGroup("g", {}, now).front().reserved);
    EXPECT_FALSE(table.beginAttempt("e", {.attemptId = "other", .promptTokens = 1}, {}, now));
    EXPECT_EQ(table.viewGroup("g", {}, now).front().ownInFlight, 1);
    table.endAttempt("e", "suspect", {}, 0, -1, now);
    EXPECT_FALSE(table.viewGroup("g", {}, now).front().reserved);
    EXPECT_TRUE(table.beginAttempt("e", {.attemptId = "other", .promptTokens = 1}, {}, now));
}

// Guards against a large organisation whose queued requests delay all requests of a small one.
TEST(admission_gate, admits_waiting_requests_in_weighted_fair_order)
{
    admission_gate gate;
    std::mutex mutex;
    std::vector<std::string> order;
    const admission_gate::arrival queuedRequest{
        .group = "g",
        .freeGroupTokens =
            [] {
                return 10.0;
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
            [&](const admit_input &input, const admit_result &) {
                const std::lock_guard lock(mutex);
                order.push_back(input.organisation);
            },
    };
    const auto input = [](const char *organisation) {
        return admit_input{.organisation = organisation, .promptTokens = 10, .remainingMs = 1000};
    };
    ASSERT_EQ(gate.enter(input("large"), queuedRequest).verdict, admit_verdict::Admit);
    std::vector<std::thread> threads;
    for (const char *organisation : {"large", "large", "large", "small"}) {
        threads.emplace_back([&gate, &queuedRequest, request = input(organisation)] {
            gate.enter(request, queuedRequest);
            gate.leave(request, "g");
        });
        while (gate.waiting() < static_cast<int>(threads.size())) {
            std::this_thread::yield();
        }
    }
    gate.leave(input("large"), "g");
    for (auto &thread : threads) {
        thread.join();
    }
    ASSERT_EQ(order.size(), 5U);
    EXPECT_LE(std::ranges::find(order, "small") - order.begin(), 2);
    EXPECT_EQ(gate.inFlight(), 0);
}

}
