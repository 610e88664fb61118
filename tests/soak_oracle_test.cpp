#include "soak/oracle.h"

#include <gtest/gtest.h>

namespace faultsoak
{

namespace
{

// A run without faults that each test breaks in one place.
class soak_oracle : public testing::Test
{
protected:
    soak_oracle()
    {
        judge.noteKey("key", "org");
        judge.noteSent("r", "key", 1000);
    }

    endpoint_run run(std::string endpoint = "e", std::int64_t at = 1010)
    {
        return {.id = "r", .endpoint = std::move(endpoint), .organisation = "org", .at = at};
    }

    caller_view view(call_kind kind, int status)
    {
        return {.id = "r",
                .kind = kind,
                .key = "key",
                .sentAt = 1000,
                .endedAt = 1100,
                .status = status,
                .whole = true,
                .sealed = true,
                .body = expectedBody(kind, "r")};
    }

    std::size_t violations()
    {
        judge.finish();
        return judge.violations().size();
    }

    oracle judge;
};

}

// Guards against an oracle that reports sound runs.
TEST_F(soak_oracle, accepts_a_sound_run)
{
    judge.noteRun(run());
    judge.noteCaller(view(call_kind::Book, 200));
    judge.noteReport(1, "{}");
    judge.noteReport(1, "{}");
    judge.noteToken("usage", 1, "a");
    judge.noteToken("usage", 2, "b");
    EXPECT_EQ(violations(), 0U);
}

// Each test below guards against a check that can't fail.
TEST_F(soak_oracle, reports_a_second_run)
{
    judge.noteRun(run());
    judge.noteRun(run("other"));
    judge.noteCaller(view(call_kind::Book, 200));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_an_untrue_refusal)
{
    judge.noteRun(run());
    judge.noteCaller(view(call_kind::Book, 503));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_wrong_or_unsealed_answer)
{
    auto wrong = view(call_kind::Read, 200);
    wrong.body = "answer to another";
    judge.noteCaller(wrong);
    auto unsealed = view(call_kind::Read, 200);
    unsealed.sealed = false;
    judge.noteCaller(unsealed);
    EXPECT_EQ(violations(), 2U);
}

TEST_F(soak_oracle, reports_a_stream_with_a_gap)
{
    auto gap = view(call_kind::Stream, 200);
    gap.whole = false;
    gap.body = streamEvent("r", 1) + streamEvent("r", 3);
    judge.noteCaller(gap);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_leaked_key_and_a_foreign_organisation)
{
    auto leaked = run();
    leaked.keySeen = true;
    leaked.organisation = "other";
    judge.noteRun(leaked);
    EXPECT_EQ(violations(), 2U);
}

TEST_F(soak_oracle, reports_a_withdrawn_key_that_works)
{
    judge.noteWithdrawn("key", -4001);
    judge.noteRun(run());
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_work_for_a_leaving_endpoint)
{
    judge.noteLeaving("e", -1001);
    judge.noteRun(run());
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_request_that_nobody_sent)
{
    auto unknown = run();
    unknown.id = "other";
    judge.noteRun(unknown);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_two_figures_for_a_window)
{
    judge.noteReport(1, R"({"org":1})");
    judge.noteReport(1, R"({"org":2})");
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_two_holders_of_one_token)
{
    judge.noteToken("usage", 1, "a");
    judge.noteToken("usage", 1, "b");
    EXPECT_EQ(violations(), 1U);
}

TEST_F(soak_oracle, reports_a_system_that_does_not_recover)
{
    judge.noteHealed(900);
    judge.noteCaller(view(call_kind::Read, 503));
    EXPECT_EQ(violations(), 1U);
}

}
