#include "protocol/engine_text.h"
#include "standin_fixture.h"

#include <gtest/gtest.h>
#include <thread>

namespace lacewinglock
{

namespace
{

struct parsed_stream
{
    bool complete = false;
    std::string text;
    std::vector<int> indices;
    std::string lastAttemptId;
    nlohmann::json usage;
    bool malformed = false;
};

parsed_stream parseStream(const std::string &body)
{
    parsed_stream result;
    for (std::size_t begin = 0; (begin = body.find("data: ", begin)) != std::string::npos;) {
        begin += 6;
        const auto line = body.substr(begin, body.find('\n', begin) - begin);
        if (line == "[DONE]") {
            result.complete = true;
            break;
        }
        const auto chunk = nlohmann::json::parse(line, nullptr, false);
        if (chunk.is_discarded()) {
            result.malformed = true;
            continue;
        }
        result.text += chunk["choices"][0].value("text", "");
        result.indices.push_back(chunk["index"]);
        result.lastAttemptId = chunk["id"];
        result.usage = chunk.value("usage", result.usage);
    }
    return result;
}

class standin_engine : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(testEngine.start());
    }
    parsed_stream stream(const nlohmann::json &fields = nlohmann::json::object())
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
    void postFault(const nlohmann::json &body)
    {
        postJson(testEngine.server(), "/faults", body);
    }

    engine testEngine{fastEngine("e1")};
};

// Guards against output that differs from the deterministic text by which callers check it, and a response without the attempt id.
TEST_F(standin_engine, streams_the_deterministic_text)
{
    const auto result = stream();
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.text, engineText("pulley", 10));
    EXPECT_EQ(result.lastAttemptId, "a-1");
    EXPECT_EQ(result.usage["completion_tokens"], 10);
}

// Guards against a resumed stream that repeats or skips tokens, or does not end when no tokens remain.
TEST_F(standin_engine, resumes_at_the_given_index)
{
    const auto result = stream({{"resume_from", 7}});
    EXPECT_EQ(result.indices, (std::vector<int>{7, 8, 9}));
    EXPECT_EQ(engineText("pulley", 7) + result.text, engineText("pulley", 10));
    EXPECT_TRUE(stream({{"resume_from", 10}}).complete);
}

// Guards against injected faults without effect: tests of the callers would pass without exercising the fault.
TEST_F(standin_engine, injects_stream_faults)
{
    postFault({{"name", "truncated_stream"}, {"value", 3}, {"count", 1}});
    const auto truncated = stream();
    EXPECT_FALSE(truncated.complete);
    EXPECT_EQ(truncated.indices.size(), 3U);
    postFault({{"name", "malformed_chunk"}, {"value", 2}, {"count", 1}});
    EXPECT_TRUE(stream().malformed);
    postFault({{"name", "wrong_attempt_id"}, {"count", 1}});
    EXPECT_EQ(stream().lastAttemptId, "not-a-1");
    EXPECT_EQ(stream().lastAttemptId, "a-1");
}

// Guards against a crashed server that still accepts connections, or does not listen again on its port after the restart.
TEST_F(standin_engine, crashes_on_a_poison_prompt_and_restarts)
{
    postFault({{"name", "poison"}, {"value", "MARKER"}});
    EXPECT_FALSE(stream({{"prompt", "a MARKER b"}}).complete);
    EXPECT_FALSE(clientOf(testEngine.server()).Get("/load"));
    testEngine.setFault({{"name", "revive"}});
    for (int attempt = 0; attempt < 100 && !testEngine.server().running(); ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_TRUE(stream().complete);
}

// Guards against an engine that goes on decoding after the caller has disconnected.
TEST_F(standin_engine, stops_decoding_when_the_caller_disconnects)
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

// Guards against a fake that accepts an order with the fencing token of a lost lease, or does not count conflicting orders.
TEST_F(standin_engine, checks_fencing_and_records_conflicts)
{
    const auto sendOrder = [&](int fencing, int revision, const char *role) {
        return postJson(testEngine.server(), "/orders", {{"fencing", fencing}, {"revision", revision}, {"order", {{"kind", "set_role"}, {"role", role}}}})
            ->status;
    };
    EXPECT_EQ(sendOrder(2, 1, "prefill"), 200);
    EXPECT_EQ(postJson(testEngine.server(), "/v1/completions", {{"prompt", "p"}})->status, 503);
    EXPECT_EQ(sendOrder(1, 2, "decode"), 409);
    EXPECT_EQ(sendOrder(2, 1, "prefill"), 200);
    EXPECT_EQ(getJson(testEngine.server(), "/orders")["conflicts"], 0);
    postFault({{"name", "ignore_fencing"}});
    EXPECT_EQ(sendOrder(1, 1, "decode"), 200);
    EXPECT_EQ(getJson(testEngine.server(), "/orders")["conflicts"], 1);
}

// Guards against a prefix cache without hits, and against lost cache events that are not reported as a gap.
TEST_F(standin_engine, caches_prefixes_and_publishes_events)
{
    const std::string prompt(1024, 'x');
    EXPECT_EQ(stream({{"prompt", prompt}}).usage["cached_tokens"], 0);
    EXPECT_EQ(stream({{"prompt", prompt}}).usage["cached_tokens"], 256);
    EXPECT_EQ(getJson(testEngine.server(), "/cache-events?since=0")["stored"].size(), 4U);
    postFault({{"name", "cache_gap"}, {"value", 2}});
    const auto events = getJson(testEngine.server(), "/cache-events?since=0");
    EXPECT_EQ(events["gap"], true);
    EXPECT_EQ(events["stored"].size(), 2U);
}

// Guards against requests that are accepted without enough free KV memory.
TEST_F(standin_engine, rejects_a_request_beyond_kv_memory)
{
    EXPECT_EQ(postJson(testEngine.server(), "/v1/completions", {{"prompt", "p"}, {"max_tokens", 500000}})->status, 503);
}

}

}
