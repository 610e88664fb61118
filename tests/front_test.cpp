#include "coordination/front.h"

#include "protocol/api_keys.h"

#include "protocol/tunables.h"

#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

instant monotonicNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// A server on a port chosen by the system.
struct loopback_server
{
    httplib::Server server;
    int port = 0;
    std::thread thread;

    void start()
    {
        port = server.bind_to_any_port("127.0.0.1");
        thread = std::thread([this] {
            server.listen_after_bind();
        });
        while (!server.is_running()) {
            std::this_thread::yield();
        }
    }
    ~loopback_server()
    {
        server.stop();
        thread.join();
    }
};

/// An engine that answers `total` tokens "t0 t1 ..." and can break in the ways the tests ask for.
struct fake_engine
{
    static constexpr std::uint64_t total = 6;
    std::atomic<int> breakAfter = -1; ///< Breaks off once before this token.
    std::atomic<int> tokenDelayMs = 0;
    std::atomic<int> calls = 0;
    std::atomic<int> cut = 0; ///< Streams whose receiver went away.
    std::atomic<bool> wrongId = false;
    std::atomic<bool> sawKey = false;
    loopback_server http;

    fake_engine()
    {
        http.server.Post("/v1/completions", [this](const httplib::Request &request, httplib::Response &response) {
            serve(request, response);
        });
        http.server.Post("/bookings", [this](const httplib::Request &request, httplib::Response &response) {
            ++calls;
            sawKey = sawKey || request.has_header("Authorization") || request.has_header("X-Api-Key");
            response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
            response.status = 201;
            response.set_content("booked " + std::to_string(calls), "text/plain");
        });
        http.start();
    }

    void serve(const httplib::Request &request, httplib::Response &response)
    {
        ++calls;
        const auto id = request.get_header_value("X-Attempt-Id");
        const auto from = nlohmann::json::parse(request.body)["resume_from"].get<std::uint64_t>();
        response.set_header("X-Attempt-Id", wrongId.exchange(false) ? "other" : id);
        response.set_chunked_content_provider("text/event-stream", [this, id, index = from](std::size_t, httplib::DataSink &sink) mutable {
            std::this_thread::sleep_for(std::chrono::milliseconds(tokenDelayMs));
            if (static_cast<int>(index) == breakAfter) {
                breakAfter = -1;
                return false;
            }
            nlohmann::json choice = {{"text", "t" + std::to_string(index) + " "}};
            nlohmann::json chunk = {{"id", id}, {"index", index}};
            if (++index == total) {
                choice["finish_reason"] = "stop";
                chunk["usage"] = {{"prompt_tokens", 3}, {"completion_tokens", total}, {"cached_tokens", 1}};
            }
            chunk["choices"] = nlohmann::json::array({choice});
            const std::string text = "data: " + chunk.dump() + "\n\n" + (index == total ? "data: [DONE]\n\n" : "");
            const bool written = sink.write(text.data(), text.size());
            cut += written ? 0 : 1;
            if (index == total) {
                sink.done();
            }
            return written;
        });
    }
};

/// One daemon's caller side in front of two fake engines.
struct daemon
{
    fake_engine engines[2];
    config_holder config;
    endpoint_table endpoints;
    suspect_table suspects;
    usage_ledger usage;
    table_store store{std::make_shared<memory_table>()};
    decision_log decisions{"/dev/null"};
    std::atomic<bool> fresh = true;
    serving_context context{
        .instanceId = "d1",
        .incarnation = "i1",
        .cell = "main",
        .config = config,
        .endpoints = endpoints,
        .suspects = suspects,
        .usage = usage,
        .store = store,
        .decisions = decisions,
        .now = monotonicNow,
        .fresh =
            [this] {
                return fresh.load();
            },
        .draining =
            [] {
                return false;
            },
        .instances =
            [] {
                return std::vector<instance_info>{{.id = "a", .callerAddress = "1.1.1.1:1", .leaving = true}, {.id = "b", .callerAddress = "1.1.1.2:1"}};
            },
        .demandShare =
            [](const std::string &) {
                return 1.0;
            }};
    loopback_server http;

    daemon()
    {
        configuration parsed{.version = 1};
        parsed.organisations["dial"] = {};
        parsed.keys["k1"] = {.organisation = "dial", .salt = "00", .hash = sha256Hex("00lw_k1_secretkey1")};
        parsed.groups["g"] = {};
        parsed.routes["open"] = {.open = true, .group = "g", .model = "reader"};
        parsed.routes["keyed"] = {.group = "g", .model = "keyed-reader"};
        parsed.routes["book"] = {.kind = route_kind::Service, .pathPrefix = "/bookings", .methods = {"POST"}, .open = true, .repeatable = false, .group = "g"};
        for (int i = 0; i < 2; ++i) {
            parsed.endpoints["e" + std::to_string(i)] = {.group = "g", .address = "127.0.0.1:" + std::to_string(engines[i].http.port)};
        }
        config.install({.parsed = parsed});
        endpoints.configure(parsed);
        registerCallerRoutes(http.server, context);
        http.start();
    }

    httplib::Client client() const
    {
        httplib::Client made("127.0.0.1", http.port);
        made.set_read_timeout(5s);
        return made;
    }
    /// Reports a long queue at the second engine, so that the first attempt goes to the first one.
    void preferFirstEngine()
    {
        endpoints.takeReport({.endpoint = "e0", .freeKvTokens = 100000}, monotonicNow());
        endpoints.takeReport({.endpoint = "e1", .queuedPromptTokens = 50000, .freeKvTokens = 100000}, monotonicNow());
    }
    int engineCalls() const
    {
        return engines[0].calls + engines[1].calls;
    }
};

std::string textOf(const std::string &stream)
{
    std::string text;
    std::istringstream lines(stream);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {") && line.find("\"error\"") == std::string::npos) {
            text += nlohmann::json::parse(line.substr(6)).at("choices").at(0).value("text", "");
        }
    }
    return text;
}

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 300 && !condition(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

constexpr const char *streamBody = R"({"model":"reader","prompt":"hello","stream":true})";
constexpr const char *wholeText = "t0 t1 t2 t3 t4 t5 ";

}

// Guards against a stream that loses, repeats or reorders tokens on its way through the daemon.
TEST(front, streams_a_completion)
{
    daemon daemon;
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(textOf(result->body), wholeText);
    EXPECT_TRUE(result->body.ends_with("data: [DONE]\n\n"));
}

// Guards against a whole answer that lacks tokens or usage, and against usage that is lost or counted for an open route.
TEST(front, gives_a_whole_answer_and_bills_the_organisation_once)
{
    daemon daemon;
    const auto result = daemon.client().Post(
        "/v1/completions", {{"Authorization", "Bearer lw_k1_secretkey1"}}, R"({"model":"keyed-reader","prompt":"hello"})", "application/json");
    ASSERT_TRUE(result);
    const auto body = nlohmann::json::parse(result->body);
    EXPECT_EQ(body["choices"][0]["text"], wholeText);
    EXPECT_EQ(body["usage"]["completion_tokens"], fake_engine::total);
    const auto records = daemon.usage.take();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].figures.outputTokens, fake_engine::total);
}

// Guards against a gap or a repetition when an engine breaks off in the middle and the stream resumes at the other one.
TEST(front, resumes_a_broken_stream_at_the_other_engine)
{
    daemon daemon;
    daemon.preferFirstEngine();
    daemon.engines[0].breakAfter = 3;
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(textOf(result->body), wholeText);
    EXPECT_EQ(daemon.engineCalls(), 2);
}

// Guards against a broken stream that looks whole to the caller when no engine can finish it.
TEST(front, ends_a_stream_that_breaks_twice_with_an_error)
{
    daemon daemon;
    daemon.engines[0].breakAfter = 3;
    daemon.engines[1].breakAfter = 3;
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(textOf(result->body), "t0 t1 t2 ");
    EXPECT_NE(result->body.find("\"run_state\":\"partial\""), std::string::npos);
    EXPECT_EQ(result->body.find("[DONE]"), std::string::npos);
}

// Guards against an answer of another request being passed on.
TEST(front, drops_an_answer_with_another_attempt_id)
{
    daemon daemon;
    daemon.preferFirstEngine();
    daemon.engines[0].wrongId = true;
    daemon.engines[1].breakAfter = 4;
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(textOf(result->body), wholeText);
    EXPECT_GE(daemon.engineCalls(), 3);
}

// Guards against a refused connection that ends the request although another engine is up, and against work that is sent there again.
TEST(front, goes_to_the_other_engine_when_one_is_down)
{
    daemon daemon;
    daemon.engines[0].http.server.stop();
    const auto found = [&] {
        return !daemon.endpoints.viewGroup("g", {}, monotonicNow()).front().reachable;
    };
    const auto ask = [&] {
        const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
        ASSERT_TRUE(result);
        EXPECT_EQ(textOf(result->body), wholeText);
    };
    // Idle engines cost the same, so the random request id chooses; 64 requests miss the stopped engine once in 2^64 runs.
    for (int i = 0; i < 64 && !found(); ++i) {
        ask();
    }
    EXPECT_TRUE(found());
    ask();
}

// Guards against prompts that count as waiting until their whole answer has come, which makes engines with long answers look busy.
TEST(front, a_prompt_waits_until_its_first_token)
{
    daemon daemon;
    for (auto &engine : daemon.engines) {
        engine.tokenDelayMs = 300;
    }
    std::thread caller([&] {
        daemon.client().Post("/v1/completions", streamBody, "application/json");
    });
    const auto seen = [&](bool waits) {
        int inFlight = 0;
        double waiting = 0;
        for (const auto &view : daemon.endpoints.viewGroup("g", {}, monotonicNow())) {
            inFlight += view.ownInFlight;
            waiting += view.ownPromptTokensWaiting;
        }
        return inFlight == 1 && (waiting > 0) == waits;
    };
    EXPECT_TRUE(eventually([&] {
        return seen(true);
    }));
    EXPECT_TRUE(eventually([&] {
        return seen(false);
    }));
    caller.join();
}

// Guards against engines that go on working for a caller that has left, before the first token and between tokens.
TEST(front, cancels_the_attempt_when_the_caller_leaves)
{
    for (const bool beforeFirstToken : {true, false}) {
        daemon daemon;
        for (auto &engine : daemon.engines) {
            engine.tokenDelayMs = beforeFirstToken ? 400 : 100;
        }
        auto client = daemon.client();
        std::thread caller([&] {
            client.Post("/v1/completions", streamBody, "application/json");
        });
        std::this_thread::sleep_for(250ms);
        EXPECT_EQ(requestsInFlight(daemon.context), 1);
        client.stop();
        caller.join();
        EXPECT_TRUE(eventually([&] {
            return requestsInFlight(daemon.context) == 0;
        }));
        EXPECT_TRUE(eventually([&] {
            return daemon.engines[0].cut + daemon.engines[1].cut == 1;
        }));
    }
}

// Guards against bad input that is served, that crashes the daemon, or that is refused without a clear error.
TEST(front, refuses_bad_input)
{
    struct bad_input
    {
        const char *path;
        httplib::Headers headers;
        std::string body;
        int status;
    };
    const std::vector<bad_input> inputs = {
        {"/v1/completions", {}, "{", 400},
        {"/v1/completions", {}, "[]", 400},
        {"/v1/completions", {}, R"({"model":"reader"})", 400},
        {"/v1/completions", {}, R"({"model":"reader","prompt":7})", 400},
        {"/v1/completions", {}, R"({"model":"reader","prompt":"x","max_tokens":"many"})", 400},
        {"/v1/completions", {}, R"({"model":"reader","prompt":"x","api_key":"k"})", 400},
        {"/v1/completions", {}, R"({"model":"reader","prompt":"x","a":)" + std::string(1000000, '[') + std::string(1000000, ']') + "}", 400},
        {"/v1/completions", {}, R"({"model":"none","prompt":"x"})", 404},
        {"/v1/completions?key=lw_k1_secretkey1", {}, streamBody, 400},
        {"/v1/completions", {{"Authorization", "Bearer wrong"}}, streamBody, 401},
        {"/v1/completions", {{"X-Other", "a\x01b"}}, streamBody, 400},
        {"/v1/completions", {{"X-Deadline-Ms", "soon"}}, streamBody, 400},
        {"/v1/completions", {}, R"({"model":"keyed-reader","prompt":"x"})", 401},
        {"/v1/completions", {{"Authorization", "Bearer lw_k1_secretkey1"}}, R"({"model":"reader","prompt":"lw_k1_secretkey1"})", 400},
        {"/v1/chat/completions", {}, R"({"model":"reader","messages":["x"]})", 400},
        {"/v1/completions", {}, std::string(tunables::maxBodyBytes + 1, 'x'), 413},
        {"/bookings/../admin", {}, "x", 400},
        {"/elsewhere", {}, "x", 404},
    };
    daemon daemon;
    for (const auto &input : inputs) {
        const auto result = daemon.client().Post(input.path, input.headers, input.body, "application/json");
        ASSERT_TRUE(result) << input.path << ' ' << input.body.substr(0, 80);
        EXPECT_EQ(result->status, input.status) << input.path << ' ' << input.body.substr(0, 80);
        const auto error = nlohmann::json::parse(result->body, nullptr, false);
        ASSERT_TRUE(error.contains("error")) << result->body;
        EXPECT_EQ(error["error"]["run_state"], "not_run");
        EXPECT_EQ(result->body.find("lw_k1_secretkey1"), std::string::npos);
    }
    EXPECT_EQ(daemon.engineCalls(), 0);
}

// Guards against requests admitted while this daemon may hold an old configuration.
TEST(front, refuses_while_not_fresh)
{
    daemon daemon;
    daemon.fresh = false;
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 503);
    EXPECT_EQ(nlohmann::json::parse(result->body)["error"]["run_state"], "not_run");
    EXPECT_EQ(daemon.client().Get("/readyz")->status, 503);
    EXPECT_EQ(daemon.client().Get("/healthz")->status, 200);
}

// Guards against a second run of a booking that is retried with its key, and against keys that reach a service.
TEST(front, runs_a_booking_once_and_replays_its_outcome)
{
    daemon daemon;
    const httplib::Headers headers = {{"Idempotency-Key", "order-7"}, {"Authorization", "Bearer lw_k1_secretkey1"}, {"X-Api-Key", "other"}};
    for (int i = 0; i < 2; ++i) {
        const auto result = daemon.client().Post("/bookings", headers, "slot 7", "text/plain");
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 201);
        EXPECT_EQ(result->body, "booked 1");
    }
    EXPECT_EQ(daemon.engineCalls(), 1);
    EXPECT_FALSE(daemon.engines[0].sawKey || daemon.engines[1].sawKey);
    EXPECT_EQ(daemon.client().Post("/bookings", headers, "slot 8", "text/plain")->status, 422);
}

// Guards against callers that are sent to a draining daemon first.
TEST(front, lists_draining_daemons_last)
{
    daemon daemon;
    const auto body = nlohmann::json::parse(daemon.client().Get("/v1/addresses")->body);
    EXPECT_EQ(body["addresses"][0]["address"], "1.1.1.2:1");
    EXPECT_EQ(body["addresses"][1]["draining"], true);
    EXPECT_GT(body["lifetime_ms"], 0);
}

}
