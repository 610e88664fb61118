#include "protocol/engine_text.h"
#include "standin_fixture.h"

#include <gtest/gtest.h>
#include <thread>

namespace lacewinglock
{

namespace
{

struct stream_answer
{
    bool complete = false;
    std::string text;
    std::vector<int> indices;
    std::string lastId;
    nlohmann::json usage;
    bool malformed = false;
};

stream_answer parseStream(const std::string &body)
{
    stream_answer answer;
    for (std::size_t begin = 0; (begin = body.find("data: ", begin)) != std::string::npos;) {
        begin += 6;
        const auto line = body.substr(begin, body.find('\n', begin) - begin);
        if (line == "[DONE]") {
            answer.complete = true;
            break;
        }
        const auto chunk = nlohmann::json::parse(line, nullptr, false);
        if (chunk.is_discarded()) {
            answer.malformed = true;
            continue;
        }
        answer.text += chunk["choices"][0].value("text", "");
        answer.indices.push_back(chunk["index"]);
        answer.lastId = chunk["id"];
        answer.usage = chunk.value("usage", answer.usage);
    }
    return answer;
}

class standin_engine : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(testEngine.start());
    }
    stream_answer stream(const nlohmann::json &fields = nlohmann::json::object())
    {
        nlohmann::json body = {{"prompt", "pulley"}, {"max_tokens", 10}, {"stream", true}};
        body.update(fields);
        std::string received;
        auto client = clientOf(testEngine.server());
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.set_header("X-Attempt-Id", "a-1");
        request.body = body.dump();
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
            received.append(data, size);
            return true;
        };
        client.send(request);
        return parseStream(received);
    }
    void fault(const nlohmann::json &body)
    {
        postJson(testEngine.server(), "/faults", body);
    }

    engine testEngine{quickEngine("e1")};
};

// Guards against tokens that a caller can't check, or an attempt id that is not echoed.
TEST_F(standin_engine, streams_the_deterministic_text)
{
    const auto answer = stream();
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.text, engineText("pulley", 10));
    EXPECT_EQ(answer.lastId, "a-1");
    EXPECT_EQ(answer.usage["completion_tokens"], 10);
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_F(standin_engine, resumes_at_the_given_index)
{
    const auto answer = stream({{"resume_from", 7}});
    EXPECT_EQ(answer.indices, (std::vector<int>{7, 8, 9}));
    EXPECT_EQ(engineText("pulley", 7) + answer.text, engineText("pulley", 10));
    EXPECT_TRUE(stream({{"resume_from", 10}}).complete);
}

// Guards against faults that don't show, which would make tests of the callers pass for nothing.
TEST_F(standin_engine, shows_stream_faults)
{
    fault({{"name", "truncated_stream"}, {"value", 3}, {"count", 1}});
    const auto cut = stream();
    EXPECT_FALSE(cut.complete);
    EXPECT_EQ(cut.indices.size(), 3U);
    fault({{"name", "malformed_chunk"}, {"value", 2}, {"count", 1}});
    EXPECT_TRUE(stream().malformed);
    fault({{"name", "wrong_attempt_id"}, {"count", 1}});
    EXPECT_EQ(stream().lastId, "not-a-1");
    EXPECT_EQ(stream().lastId, "a-1");
}

// Guards against a crash that leaves connections open or a port that doesn't come back.
TEST_F(standin_engine, crashes_on_a_poison_prompt_and_comes_back)
{
    fault({{"name", "poison"}, {"value", "MARKER"}});
    EXPECT_FALSE(stream({{"prompt", "a MARKER b"}}).complete);
    EXPECT_FALSE(clientOf(testEngine.server()).Get("/load"));
    testEngine.setFault({{"name", "revive"}});
    for (int attempt = 0; attempt < 100 && !testEngine.server().running(); ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_TRUE(stream().complete);
}

// Guards against an engine that keeps decoding for a caller who left.
TEST_F(standin_engine, cancels_when_the_caller_closes)
{
    auto client = clientOf(testEngine.server());
    client.set_read_timeout(0, 100000);
    EXPECT_FALSE(client.Post("/v1/completions", R"({"prompt": "p", "max_tokens": 100000})", "application/json"));
    client.stop();
    for (int attempt = 0; attempt < 200 && getJson(testEngine.server(), "/load")["running_streams"] != 0; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(getJson(testEngine.server(), "/load")["running_streams"], 0);
}

// Guards against a fake that takes an order from a process that lost its lease, or that hides conflicting orders.
TEST_F(standin_engine, checks_fencing_and_records_conflicts)
{
    const auto order = [&](int fencing, int revision, const char *role) {
        return postJson(testEngine.server(), "/orders", {{"fencing", fencing}, {"revision", revision}, {"order", {{"kind", "set_role"}, {"role", role}}}})
            ->status;
    };
    EXPECT_EQ(order(2, 1, "prefill"), 200);
    EXPECT_EQ(postJson(testEngine.server(), "/v1/completions", {{"prompt", "p"}})->status, 503);
    EXPECT_EQ(order(1, 2, "decode"), 409);
    EXPECT_EQ(order(2, 1, "prefill"), 200);
    EXPECT_EQ(getJson(testEngine.server(), "/orders")["conflicts"], 0);
    fault({{"name", "ignore_fencing"}});
    EXPECT_EQ(order(1, 1, "decode"), 200);
    EXPECT_EQ(getJson(testEngine.server(), "/orders")["conflicts"], 1);
}

// Guards against a prefix cache that never hits, and events without their gap.
TEST_F(standin_engine, caches_prefixes_and_publishes_events)
{
    const std::string prompt(1024, 'x');
    EXPECT_EQ(stream({{"prompt", prompt}}).usage["cached_tokens"], 0);
    EXPECT_EQ(stream({{"prompt", prompt}}).usage["cached_tokens"], 256);
    EXPECT_EQ(getJson(testEngine.server(), "/cache-events?since=0")["stored"].size(), 4U);
    fault({{"name", "cache_gap"}, {"value", 2}});
    const auto events = getJson(testEngine.server(), "/cache-events?since=0");
    EXPECT_EQ(events["gap"], true);
    EXPECT_EQ(events["stored"].size(), 2U);
}

// Guards against requests that are taken without the memory for them.
TEST_F(standin_engine, refuses_when_memory_is_full)
{
    EXPECT_EQ(postJson(testEngine.server(), "/v1/completions", {{"prompt", "p"}, {"max_tokens", 500000}})->status, 503);
}

}

}
