#include "soak/oracle.h"

#include <gtest/gtest.h>

namespace faultsoak
{

namespace
{

// Starts with one request that no check objects to; each test violates one invariant.
class soak_oracle : public testing::Test
{
protected:
    soak_oracle()
    {
        checker.recordKeyOwner("key", "org");
        checker.recordSent("r", "key", 1000);
    }

    endpoint_execution execution(std::string endpoint = "e", std::int64_t timeMs = 1010)
    {
        return {.id = "r", .endpoint = std::move(endpoint), .organisation = "org", .timeMs = timeMs};
    }

    caller_result result(call_kind kind, int status)
    {
        return {.id = "r",
                .kind = kind,
                .key = "key",
                .sentAtMs = 1000,
                .endedAtMs = 1100,
                .status = status,
                .complete = true,
                .hasSeal = true,
                .body = expectedBody(kind, "r")};
    }

    std::size_t violations()
    {
        checker.checkFinalState();
        return checker.violations().size();
    }

    oracle checker;
};

}

// Guards against an oracle that reports violations in a correct run.
TEST_F(soak_oracle, accepts_a_run_without_violations)
{
    checker.recordExecution(execution());
    checker.recordCallerResult(result(call_kind::NonIdempotent, 200));
    checker.recordUsageReport(1, "{}");
    checker.recordUsageReport(1, "{}");
    checker.recordFencingToken("usage", 1, "a");
    checker.recordFencingToken("usage", 2, "b");
    EXPECT_EQ(violations(), 0U);
}

// Each test below guards against a check of the oracle that never fails: it violates that invariant and expects the report.
TEST_F(soak_oracle, reports_a_second_execution)
{
    checker.recordExecution(execution());
    checker.recordExecution(execution("other"));
    checker.recordCallerResult(result(call_kind::NonIdempotent, 200));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_refused_request_that_ran)
{
    checker.recordExecution(execution());
    checker.recordCallerResult(result(call_kind::NonIdempotent, 503));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_wrong_or_unsealed_answer)
{
    auto wrong = result(call_kind::Idempotent, 200);
    wrong.body = "answer to another";
    checker.recordCallerResult(wrong);
    auto unsealed = result(call_kind::Idempotent, 200);
    unsealed.hasSeal = false;
    checker.recordCallerResult(unsealed);
    EXPECT_EQ(violations(), 2U);
}

TEST_F(soak_oracle, reports_a_stream_with_a_missing_event)
{
    auto missingEvent = result(call_kind::Streaming, 200);
    missingEvent.complete = false;
    missingEvent.body = streamEvent("r", 1) + streamEvent("r", 3);
    checker.recordCallerResult(missingEvent);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_leaked_key_and_a_foreign_organisation)
{
    auto leaked = execution();
    leaked.receivedKey = true;
    leaked.organisation = "other";
    checker.recordExecution(leaked);
    EXPECT_EQ(violations(), 2U);
}

TEST_F(soak_oracle, reports_an_accepted_withdrawn_key)
{
    checker.recordKeyWithdrawal("key", -4001);
    checker.recordExecution(execution());
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_request_sent_to_a_draining_endpoint)
{
    checker.recordEndpointDraining("e", -1001);
    checker.recordExecution(execution());
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_request_that_no_caller_sent)
{
    auto unknown = execution();
    unknown.id = "other";
    checker.recordExecution(unknown);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_two_usage_counts_for_a_window)
{
    checker.recordUsageReport(1, R"({"org":1})");
    checker.recordUsageReport(1, R"({"org":2})");
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_two_holders_of_one_token)
{
    checker.recordFencingToken("usage", 1, "a");
    checker.recordFencingToken("usage", 1, "b");
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_system_that_does_not_recover)
{
    checker.recordFaultsEnded(900);
    checker.recordCallerResult(result(call_kind::Idempotent, 503));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, allows_a_request_that_crosses_the_close_of_its_connection)
{
    checker.forbidCutResponses();
    auto crossing = result(call_kind::Idempotent, 0);
    crossing.complete = false;
    crossing.sentAtMs = 0;
    crossing.endedAtMs = 100;
    checker.recordCallerResult(crossing);
    EXPECT_EQ(violations(), 0U);
}

TEST_F(soak_oracle, reports_a_request_without_answer_that_ran)
{
    checker.forbidCutResponses();
    auto lost = result(call_kind::Idempotent, 0);
    lost.complete = false;
    checker.recordExecution(execution());
    checker.recordCallerResult(lost);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_stream_that_a_stop_cut)
{
    checker.forbidCutResponses();
    auto cut = result(call_kind::Streaming, 200);
    cut.complete = false;
    cut.body = streamEvent("r", 1);
    checker.recordCallerResult(cut);
    EXPECT_EQ(violations(), 1U);
}

namespace
{

// Five crashes of a part from 20 to 24 s, among prompts that were all served before the first fault at 10 s.
class soak_oracle_parts : public soak_oracle
{
protected:
    soak_oracle_parts()
    {
        sendPrompts(20, 1000, 200);
        checker.recordFaultsBegan(10'000);
        for (std::int64_t timeMs = 20'000; timeMs <= 24'000; timeMs += 1000) {
            checker.recordCrash("dead1", timeMs);
        }
    }

    void sendPrompts(int count, std::int64_t timeMs, int status)
    {
        for (int i = 0; i < count; ++i) {
            auto answer = result(call_kind::Streaming, status);
            answer.id = "p" + std::to_string(++m_sent);
            answer.sentAtMs = timeMs;
            answer.body = expectedBody(call_kind::Streaming, answer.id);
            checker.recordSent(answer.id, "key", timeMs, "d");
            checker.recordCallerResult(answer);
        }
    }

    void sendCrashing(int count, std::int64_t timeMs)
    {
        for (int i = 0; i < count; ++i) {
            const auto id = "x" + std::to_string(++m_sent);
            checker.recordSent(id, "key", timeMs, "d", "dead1");
            checker.recordArrival(id, timeMs);
        }
    }

private:
    int m_sent = 0;
};

}

TEST_F(soak_oracle_parts, reports_a_fourth_arrival_of_a_crashing_part)
{
    sendCrashing(20, 27'000);
    sendCrashing(3, 27'001);
    checker.recordDisruption("other", 27'001);
    EXPECT_EQ(violations(), 0U);
    sendCrashing(1, 30'000);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle_parts, counts_no_arrivals_from_a_daemon_out_of_touch)
{
    checker.recordDisruption("d", 26'000);
    sendCrashing(20, 29'000);
    EXPECT_EQ(violations(), 0U);
    sendCrashing(4, 29'001);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle_parts, reports_prompts_refused_beside_a_crashing_part)
{
    sendPrompts(100, 29'999, 503);
    sendPrompts(10, 30'000, 200);
    sendPrompts(10, 30'000, 503);
    sendCrashing(1, 40'000);
    EXPECT_EQ(violations(), 0U);
    sendPrompts(1, 40'000, 503);
    EXPECT_EQ(violations(), 1U);
}

}
