#include "coordination/load_summary.h"
#include "protocol/engine_text.h"
#include "standin_fixture.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

load_settings shortLoad(const std::string &server)
{
    load_settings settings;
    settings.servers = {server};
    settings.keys = {{"large", "k1"}, {"small", "k2"}};
    settings.models = {"m"};
    settings.rate = 60;
    settings.seconds = 0.5;
    settings.longPromptBytes = 1024;
    settings.bookingFraction = 0;
    settings.maxOutputTokens = 20;
    settings.workers = 16;
    return settings;
}

nlohmann::json runAgainst(engine &target, const load_settings &settings)
{
    load_generator generator(settings);
    const auto results = generator.run();
    target.stop();
    return summariseLoad(generator, results, std::nullopt);
}

answer_verdict verdictOf(const std::string &text, bool done)
{
    answer_checker check({{"prompt", "p"}}, 4);
    const nlohmann::json chunk = {{"choices", nlohmann::json::array({{{"text", text}}})}};
    check.addStreamBytes("data: " + chunk.dump() + "\n\n" + (done ? "data: [DONE]\n\n" : ""), {});
    return check.verdict();
}

}

// Guards against a checker that accepts an incomplete response.
TEST(answer_checker, distinguishes_complete_truncated_duplicated_and_incorrect)
{
    const auto whole = engineText("p", 4);
    EXPECT_EQ(verdictOf(whole, true), answer_verdict::Complete);
    EXPECT_EQ(verdictOf(whole, false), answer_verdict::Truncated);
    EXPECT_EQ(verdictOf(engineText("p", 3), true), answer_verdict::Truncated);
    EXPECT_EQ(verdictOf(engineText("p", 2) + engineToken("p", 1) + engineToken("p", 2) + engineToken("p", 3), true), answer_verdict::Duplicated);
    EXPECT_EQ(verdictOf(engineText("p", 2) + engineToken("p", 3), true), answer_verdict::Incorrect);
    EXPECT_EQ(verdictOf(engineText("q", 4), true), answer_verdict::Incorrect);
}

// Guards against a plan that can't be reproduced from its seed.
TEST(load_plan, depends_on_the_seed_only)
{
    const auto settings = shortLoad("127.0.0.1:1");
    const auto plan = makeLoadPlan(settings);
    const auto again = makeLoadPlan(settings);
    ASSERT_EQ(plan.size(), again.size());
    for (std::size_t index = 0; index < plan.size(); ++index) {
        EXPECT_EQ(callBody(settings, plan[index]), callBody(settings, again[index]));
    }
}

// Guards against a generator that counts correct responses as incorrect, or misses the incorrect ones of a faulty engine.
TEST(load_generator, counts_complete_and_incorrect_responses)
{
    engine good(fastEngine("e1"));
    ASSERT_TRUE(good.start());
    const auto clean = runAgainst(good, shortLoad(good.server().address()));
    EXPECT_GT(clean["sent"], 10);
    EXPECT_EQ(clean["whole"], clean["sent"]);
    EXPECT_FALSE(hasIncorrectAnswers(clean));
    engine faulty(fastEngine("e2"));
    ASSERT_TRUE(faulty.start());
    faulty.setFault({{"name", "malformed_chunk"}, {"value", 1}});
    EXPECT_TRUE(hasIncorrectAnswers(runAgainst(faulty, shortLoad(faulty.server().address()))));
}

// Guards against a lost connection that counts as a response: the call must be retried and complete.
TEST(load_generator, retries_a_completion_after_a_lost_connection)
{
    engine target(fastEngine("e1"));
    ASSERT_TRUE(target.start());
    target.setFault({{"name", "truncated_stream"}, {"value", 2}, {"count", 2}});
    const auto summary = runAgainst(target, shortLoad(target.server().address()));
    EXPECT_EQ(summary["whole"], summary["sent"]);
    EXPECT_GE(summary["reconnected"], 1);
}

// Guards against a summary that omits a booking that ran twice, a confirmed booking that never ran, or a false not_run.
TEST(load_summary, compares_bookings_with_execution_records)
{
    auto settings = shortLoad("127.0.0.1:1");
    settings.bookingFraction = 1;
    const load_generator generator(settings);
    ASSERT_GE(generator.plan().size(), 3U);
    std::vector<call_result> results(3);
    results[0].verdict = answer_verdict::Complete;
    results[1].runState = "not_run";
    results[2].verdict = answer_verdict::Complete;
    const std::map<std::string, int> executions = {{generator.plan()[0].bookingId, 2}, {generator.plan()[1].bookingId, 1}};
    const auto summary = summariseLoad(generator, results, executions);
    EXPECT_EQ(summary["booking_doubled"], 1);
    EXPECT_EQ(summary["false_not_run"], 1);
    EXPECT_EQ(summary["booking_not_executed"], 1);
    EXPECT_TRUE(hasIncorrectAnswers(summary));
}

}
