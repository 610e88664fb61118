#include "caller_routes_fixture.h"
#include "coordination/address_planner.h"
#include "protocol/decision_codec.h"
#include "protocol/tunables.h"

namespace lacewinglock
{

// Guards against a stream in which the daemon loses, repeats or reorders tokens.
TEST(caller_routes, streams_a_completion)
{
    daemon daemon;
    const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(streamedText(result->body), expectedText);
    EXPECT_TRUE(result->body.ends_with("data: [DONE]\n\n"));
}

// Guards against a response without streaming that lacks tokens or usage figures, and against usage that is lost or recorded twice.
TEST(caller_routes, sends_a_completion_without_streaming_and_bills_it_once)
{
    daemon daemon;
    const auto result = daemon.client().Post(
        "/v1/completions", {{"Authorization", "Bearer lw_k1_secretkey1"}}, R"({"model":"keyed-reader","prompt":"hello"})", "application/json");
    ASSERT_TRUE(result);
    const auto body = nlohmann::json::parse(result->body);
    EXPECT_EQ(body["choices"][0]["text"], expectedText);
    EXPECT_EQ(body["usage"]["completion_tokens"], fake_engine::total);
    const auto records = daemon.usage.take();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].figures.outputTokens, fake_engine::total);
}

// Guards against missing or repeated tokens when an engine closes the connection in mid-stream and the other engine resumes.
TEST(caller_routes, resumes_an_interrupted_stream_at_the_other_engine)
{
    daemon daemon;
    daemon.preferFirstEngine();
    daemon.engines[0].disconnectBeforeToken = 3;
    const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(streamedText(result->body), expectedText);
    EXPECT_EQ(daemon.engineCalls(), 2);
}

// Guards against a truncated stream that looks complete to the caller when no engine can finish it.
TEST(caller_routes, ends_a_stream_that_is_interrupted_twice_with_an_error)
{
    daemon daemon;
    daemon.engines[0].disconnectBeforeToken = 3;
    daemon.engines[1].disconnectBeforeToken = 3;
    const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(streamedText(result->body), "t0 t1 t2 ");
    EXPECT_NE(result->body.find("\"run_state\":\"partial\""), std::string::npos);
    EXPECT_EQ(result->body.find("[DONE]"), std::string::npos);
}

// Guards against the response of another request being forwarded to the caller.
TEST(caller_routes, discards_a_response_with_another_attempt_id)
{
    daemon daemon;
    daemon.preferFirstEngine();
    daemon.engines[0].sendWrongAttemptId = true;
    daemon.engines[1].disconnectBeforeToken = 4;
    const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(streamedText(result->body), expectedText);
    EXPECT_GE(daemon.engineCalls(), 3);
}

// Guards against a refused connection that fails the request although another engine is up, and against later requests that are still
// sent to the engine that is down.
TEST(caller_routes, uses_the_other_engine_when_one_is_down)
{
    daemon daemon;
    daemon.preferFirstEngine(); // With equal costs the random request id decides, so the engine that is down might never be tried.
    daemon.engines[0].http.server.stop();
    const reserved_port down(daemon.engines[0].http.port);
    ASSERT_TRUE(down.isBound());
    for (int i = 0; i < 2; ++i) {
        const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
        ASSERT_TRUE(result);
        EXPECT_EQ(streamedText(result->body), expectedText);
    }
    EXPECT_EQ(daemon.engines[1].calls, 2);
    EXPECT_FALSE(daemon.endpoints.viewGroup("g", {}, monotonicNow()).front().reachable);
}

// Guards against prompts that are counted as waiting until their output is complete, which overstates the queue of engines with long outputs.
TEST(caller_routes, a_prompt_waits_until_its_first_token)
{
    daemon daemon;
    for (auto &engine : daemon.engines) {
        engine.tokenDelayMs = 300;
    }
    std::thread caller([&] {
        daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    });
    const auto matches = [&](bool waits) {
        int inFlight = 0;
        double waiting = 0;
        for (const auto &view : daemon.endpoints.viewGroup("g", {}, monotonicNow())) {
            inFlight += view.ownInFlight;
            waiting += view.ownPromptTokensWaiting;
        }
        return inFlight == 1 && (waiting > 0) == waits;
    };
    EXPECT_TRUE(eventually([&] {
        return matches(true);
    }));
    EXPECT_TRUE(eventually([&] {
        return matches(false);
    }));
    caller.join();
}

// Guards against other requests of this daemon at the endpoint of a suspect request: they would fail with it if the suspect crashes it.
TEST(caller_routes, sends_no_other_requests_to_the_endpoint_of_a_suspect)
{
    daemon daemon;
    daemon.preferFirstEngine();
    daemon.engines[0].disconnectBeforeToken = 0;
    daemon.engines[1].tokenDelayMs = 150;
    std::thread suspect([&] {
        const auto result = daemon.client().Post("/v1/completions", R"({"model":"reader","prompt":"suspect"})", "application/json");
        EXPECT_TRUE(result && result->status == 200);
    });
    ASSERT_TRUE(eventually([&] {
        return daemon.engines[1].calls == 1;
    }));
    daemon.endpoints.applyReport({.endpoint = "e0", .queuedPromptTokens = 50000, .freeKvTokens = 100000}, monotonicNow());
    daemon.endpoints.applyReport({.endpoint = "e1", .freeKvTokens = 100000}, monotonicNow());
    for (int i = 0; i < 3; ++i) {
        ASSERT_EQ(daemon.client().Post("/v1/completions", streamingRequestBody, "application/json")->status, 200);
    }
    EXPECT_EQ(daemon.engines[0].calls, 4);
    EXPECT_EQ(daemon.engines[1].calls, 1);
    suspect.join();
    ASSERT_EQ(daemon.client().Post("/v1/completions", streamingRequestBody, "application/json")->status, 200);
    EXPECT_EQ(daemon.engines[1].calls, 2);
}

// Guards against engines that keep working for a caller that has disconnected, before the first token and between tokens.
TEST(caller_routes, cancels_the_attempt_when_the_caller_disconnects)
{
    for (const bool beforeFirstToken : {true, false}) {
        daemon daemon;
        for (auto &engine : daemon.engines) {
            engine.tokenDelayMs = beforeFirstToken ? 400 : 100;
        }
        auto client = daemon.client();
        std::thread caller([&] {
            client.Post("/v1/completions", streamingRequestBody, "application/json");
        });
        std::this_thread::sleep_for(250ms);
        EXPECT_EQ(requestsInFlight(daemon.context), 1);
        client.stop();
        caller.join();
        EXPECT_TRUE(eventually([&] {
            return requestsInFlight(daemon.context) == 0;
        }));
        EXPECT_TRUE(eventually([&] {
            return daemon.engines[0].disconnectedStreams + daemon.engines[1].disconnectedStreams == 1;
        }));
    }
}

// Guards against invalid input that is served, that crashes the daemon, or that is refused without an error body.
TEST(caller_routes, refuses_bad_input)
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
        {"/v1/completions?key=lw_k1_secretkey1", {}, streamingRequestBody, 400},
        {"/v1/completions", {{"Authorization", "Bearer wrong"}}, streamingRequestBody, 401},
        {"/v1/completions", {{"X-Other", "a\x01b"}}, streamingRequestBody, 400},
        {"/v1/completions", {{"X-Deadline-Ms", "soon"}}, streamingRequestBody, 400},
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

// Guards against metrics of requests and refusals that are missing or counted twice.
TEST(caller_routes, counts_requests_and_refusals)
{
    daemon daemon;
    daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    daemon.client().Post("/v1/completions", "{", "application/json");
    daemon.engines[0].disconnectBeforeToken = 3;
    daemon.engines[1].disconnectBeforeToken = 3;
    daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    EXPECT_TRUE(eventually([&] {
        return hasLine(daemon.metricsRegistry.text(), "lacewinglock_requests_in_flight 0");
    }));
    const std::string text = daemon.metricsRegistry.text();
    for (const char *line : {"lacewinglock_requests_total 3",
                             "lacewinglock_refusals_total{run_state=\"not_run\"} 1",
                             "lacewinglock_refusals_total{run_state=\"unknown\"} 0",
                             "lacewinglock_refusals_total{run_state=\"partial\"} 1",
                             "lacewinglock_first_token_ms_count 2",
                             "lacewinglock_token_gap_ms_count 7",
                             "lacewinglock_request_ms_count 2"}) {
        EXPECT_TRUE(hasLine(text, line)) << line << '\n' << text;
    }
}

// Guards against requests that are admitted while this daemon's configuration may be out of date.
TEST(caller_routes, refuses_while_not_fresh)
{
    daemon daemon;
    daemon.fresh = false;
    const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 503);
    EXPECT_EQ(nlohmann::json::parse(result->body)["error"]["run_state"], "not_run");
    EXPECT_EQ(daemon.client().Get("/readyz")->status, 503);
    EXPECT_EQ(daemon.client().Get("/healthz")->status, 200);
}

// Guards against a second execution of a booking that is retried with its idempotency key, against API keys that reach a service, and against
// response headers that are lost, or are forwarded although they are hop-by-hop, in the first response and in the replay of the stored outcome.
TEST(caller_routes, runs_a_booking_once_and_replays_its_outcome)
{
    daemon daemon;
    const httplib::Headers headers = {{"Idempotency-Key", "order-7"}, {"Authorization", "Bearer lw_k1_secretkey1"}, {"X-Api-Key", "other"}};
    for (int i = 0; i < 2; ++i) {
        const auto result = daemon.client().Post("/bookings", headers, "slot 7", "text/plain");
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 201);
        EXPECT_EQ(result->body, "booked 1");
        EXPECT_EQ(result->get_header_value("Location"), "/bookings/7");
        EXPECT_EQ(result->get_header_value("ETag"), "\"v7\"");
        EXPECT_EQ(result->get_header_value("Cache-Control"), "private");
        EXPECT_EQ(result->get_header_value("X-Unlisted"), "kept");
        for (const char *dropped : {"Set-Cookie", "X-Hop", "Proxy-Authenticate", "X-Attempt-Id"}) {
            EXPECT_FALSE(result->has_header(dropped)) << dropped;
        }
        EXPECT_EQ(result->get_header_value_count("X-Request-Id"), 1U);
        EXPECT_TRUE(result->get_header_value("X-Request-Id").starts_with("req-"));
    }
    EXPECT_EQ(daemon.engineCalls(), 1);
    EXPECT_FALSE(daemon.engines[0].receivedKey || daemon.engines[1].receivedKey);
    EXPECT_EQ(daemon.client().Post("/bookings", headers, "slot 8", "text/plain")->status, 422);
}

// Guards against an address decision that cannot be reproduced: its record must hold the planner's input and give the same list on replay.
TEST(caller_routes, records_the_address_decision)
{
    daemon daemon;
    daemon.context.instances = [] {
        return std::vector<instance_info>{{.id = "a", .callerAddress = "1.1.1.1:1", .failureDomain = "fd1", .load = 0.95},
                                          {.id = "b", .callerAddress = "1.1.1.2:1", .failureDomain = "fd2", .load = 0.5}};
    };
    const auto answer = daemon.client().Get("/v1/addresses?failure_domain=fd1");
    ASSERT_TRUE(answer);
    const auto body = nlohmann::json::parse(answer->body);
    EXPECT_EQ(body["addresses"][0]["address"], "1.1.1.2:1"); // The daemon in the caller's failure domain is overloaded.
    const auto records = daemon.recent.find(answer->get_header_value("X-Request-Id"));
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].kind, "address");
    const auto input = parseDecision<address_input>(nlohmann::json::parse(records[0].input));
    ASSERT_TRUE(input.ok());
    EXPECT_EQ(input->callerDomain, "fd1");
    EXPECT_EQ(input->daemons[0].load, 0.95);
    const auto replayed = decideAddresses(*input);
    EXPECT_EQ(nlohmann::json::parse(records[0].result), encodeDecision(replayed));
    EXPECT_EQ(replayed.addresses[0], body["addresses"][0]["address"]);
    EXPECT_EQ(body["lifetime_ms"], replayed.lifetimeMs);
}

// Guards against address lists that put a draining daemon first.
TEST(caller_routes, lists_draining_daemons_last)
{
    daemon daemon;
    const auto body = nlohmann::json::parse(daemon.client().Get("/v1/addresses")->body);
    EXPECT_EQ(body["addresses"][0]["address"], "1.1.1.2:1");
    EXPECT_EQ(body["addresses"][1]["draining"], true);
    EXPECT_GT(body["lifetime_ms"], 0);
}

}
