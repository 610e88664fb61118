#include "coordination/load_report.h"
#include "protocol/engine_text.h"
#include "standin_fixture.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

load_settings quickLoad(const std::string &server)
{
    load_settings settings;
    settings.servers = {server};
    settings.keys = {{"large", "k1"}, {"small", "k2"}};
    settings.models = {"m"};
    settings.rate = 60;
    settings.seconds = 0.5;
    settings.longPromptBytes = 1024;
    settings.bookingShare = 0;
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
    answer_check check({{"prompt", "p"}}, 4);
    const nlohmann::json chunk = {{"choices", nlohmann::json::array({{{"text", text}}})}};
    check.takeStream("data: " + chunk.dump() + "\n\n" + (done ? "data: [DONE]\n\n" : ""), {});
    return check.verdict();
}

}

// Guards against a checker that accepts an answer which is not whole.
TEST(answer_check, tells_whole_cut_doubled_and_wrong_apart)
{
    const auto whole = engineText("p", 4);
    EXPECT_EQ(verdictOf(whole, true), answer_verdict::Whole);
    EXPECT_EQ(verdictOf(whole, false), answer_verdict::Cut);
    EXPECT_EQ(verdictOf(engineText("p", 3), true), answer_verdict::Cut);
    EXPECT_EQ(verdictOf(engineText("p", 2) + engineToken("p", 1) + engineToken("p", 2) + engineToken("p", 3), true), answer_verdict::Doubled);
    EXPECT_EQ(verdictOf(engineText("p", 2) + engineToken("p", 3), true), answer_verdict::Wrong);
    EXPECT_EQ(verdictOf(engineText("q", 4), true), answer_verdict::Wrong);
}

// Guards against runs that can't be repeated from their seed.
TEST(load_plan, depends_on_the_seed_only)
{
    const auto settings = quickLoad("127.0.0.1:1");
    const auto plan = makeLoadPlan(settings);
    const auto again = makeLoadPlan(settings);
    ASSERT_EQ(plan.size(), again.size());
    for (std::size_t index = 0; index < plan.size(); ++index) {
        EXPECT_EQ(callBody(settings, plan[index]), callBody(settings, again[index]));
    }
}

// Guards against a generator that counts good answers as bad, or misses the bad ones of a faulty engine.
TEST(load_generator, counts_whole_and_wrong_answers)
{
    engine good(quickEngine("e1"));
    ASSERT_TRUE(good.start());
    const auto clean = runAgainst(good, quickLoad(good.server().address()));
    EXPECT_GT(clean["sent"], 10);
    EXPECT_EQ(clean["whole"], clean["sent"]);
    EXPECT_FALSE(hasBadAnswers(clean));
    engine faulty(quickEngine("e2"));
    ASSERT_TRUE(faulty.start());
    faulty.setFault({{"name", "malformed_chunk"}, {"value", 1}});
    EXPECT_TRUE(hasBadAnswers(runAgainst(faulty, quickLoad(faulty.server().address()))));
}

// Guards against a broken connection that is taken for an answer: the call must be sent again and end whole.
TEST(load_generator, sends_a_completion_again_after_a_broken_connection)
{
    engine target(quickEngine("e1"));
    ASSERT_TRUE(target.start());
    target.setFault({{"name", "truncated_stream"}, {"value", 2}, {"count", 2}});
    const auto summary = runAgainst(target, quickLoad(target.server().address()));
    EXPECT_EQ(summary["whole"], summary["sent"]);
    EXPECT_GE(summary["reconnected"], 1);
}

// Guards against a booking that ran twice, or a false not_run, that the report doesn't show.
TEST(load_report, compares_bookings_with_execution_records)
{
    auto settings = quickLoad("127.0.0.1:1");
    settings.bookingShare = 1;
    const load_generator generator(settings);
    ASSERT_GE(generator.plan().size(), 3U);
    std::vector<call_result> results(3);
    results[0].verdict = answer_verdict::Whole;
    results[1].runState = "not_run";
    results[2].verdict = answer_verdict::Whole;
    const std::map<std::string, int> executions = {{generator.plan()[0].bookingId, 2}, {generator.plan()[1].bookingId, 1}};
    const auto summary = summariseLoad(generator, results, executions);
    EXPECT_EQ(summary["booking_doubled"], 1);
    EXPECT_EQ(summary["false_not_run"], 1);
    EXPECT_EQ(summary["booking_not_executed"], 1);
    EXPECT_TRUE(hasBadAnswers(summary));
}

}
