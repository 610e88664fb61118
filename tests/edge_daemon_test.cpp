#include "edge_fixture.h"

#include "serving/edge_settings.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace lacewinglock
{

namespace
{

std::string readAll(int descriptor)
{
    std::string out;
    char buffer[65536];
    while (true) {
        const auto got = ::read(descriptor, buffer, sizeof buffer);
        if (got <= 0) {
            return out;
        }
        out.append(buffer, static_cast<std::size_t>(got));
    }
}

class edge_daemon_test : public edge_fixture
{
};

}

// Guards against a daemon that blocks because its log is not read, and against log lines that are lost without a count.
TEST(line_log, drops_and_counts_when_the_reader_is_slow)
{
    int pipeEnds[2];
    ASSERT_EQ(pipe(pipeEnds), 0);
    fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    line_log log(pipeEnds[1]);
    const std::string filler(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
        log_line line(i, "filler");
        line.add("text", filler);
        log.write(line);
    }
    EXPECT_GT(log.dropped(), 0U);
    for (int i = 0; i < 20; ++i) {
        readAll(pipeEnds[0]);
        log.flush();
    }
    log_line last(1, "last");
    log.write(last);
    log.flush();
    EXPECT_NE(readAll(pipeEnds[0]).find("log_lines_dropped"), std::string::npos);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

// Guards against log lines that are not valid JSON.
TEST(log_line, writes_valid_json)
{
    log_line line(5, "test");
    line.add("text", "quote \" back \\ line \n byte \xff").add("number", -1.25).add("none", std::nan("")).add("flag", true);
    const auto parsed = nlohmann::json::parse(line.take(), nullptr, false);
    ASSERT_TRUE(parsed.is_object());
    EXPECT_DOUBLE_EQ(parsed["number"], -1.3);
    EXPECT_TRUE(parsed["none"].is_null());
    EXPECT_EQ(parsed["event"], "test");
}

// Guards against invalid settings that are accepted, or rejected without the name of the field.
TEST(edge_settings, names_the_field_that_is_wrong)
{
    const std::string valid = R"({"id":"d","failure_domain":"a","caller_address":"1:1","peer_address":"1:2","store_address":"1:3","orders_address":"1:4")";
    ASSERT_TRUE(parseEdgeSettings(valid + R"(,"revoke_bound_ms":4e3})").ok());
    EXPECT_EQ(toMs(parseEdgeSettings(valid + R"(,"revoke_bound_ms":4e3})")->revokeBound), 4000);
    EXPECT_TRUE(parseEdgeSettings(valid + R"(,"quota_window_ms":8000})").ok());
    EXPECT_FALSE(parseEdgeSettings(valid + R"(,"quota_window_ms":0})").ok());
    const auto expectError = [&](const std::string &more, const std::string &name) {
        const auto parsed = parseEdgeSettings(valid + more);
        ASSERT_FALSE(parsed.ok());
        EXPECT_NE(parsed.status().message().find(name), absl::string_view::npos) << parsed.status();
    };
    expectError(R"(,"retry_slack":"many"})", "retry_slack");
    expectError(R"(,"capacity":0})", "capacity");
    expectError(R"(,"max_connections":-1})", "max_connections");
    expectError(R"(,"colour":"red"})", "colour");
    expectError(R"(,"hedge_ratio":1.5})", "hedge_ratio");
    expectError(R"(,"hedge_even_services":1})", "hedge_even_services");
    EXPECT_FALSE(parseEdgeSettings(R"({"id":"d"})").ok());
    EXPECT_FALSE(parseEdgeSettings("[]").ok());
}

// Guards against chunked request bodies that are forwarded incomplete, or with both a length and chunked encoding.
TEST_F(edge_daemon_test, forwards_a_chunked_body_with_its_length)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "ok")};
    });
    configure({makeRoute("/book/", "desk")});
    addEndpoint("e1", "desk", endpoint.address());
    const auto result
        = call("POST /book/1 HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    EXPECT_EQ(result.status, 200);
    ASSERT_EQ(endpoint.requests.size(), 1U);
    EXPECT_EQ(endpoint.requests[0].body(), "abcde");
    EXPECT_EQ(endpoint.requests[0]["Transfer-Encoding"], "");
}

// Guards against callers that keep their connection to a daemon that is shutting down, instead of moving to another one.
TEST_F(edge_daemon_test, closes_connections_during_shutdown)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "ok")};
    });
    configure({makeRoute("/book/", "desk")});
    addEndpoint("e1", "desk", endpoint.address());
    context->stopping = true;
    context->stoppingSince = bootNow();
    EXPECT_FALSE(context->serving());
    const auto result = call(post("/book/1", "x"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.head["Connection"], "close");
}

// Guards against accepting a request that can't end before SIGKILL and would be cut off.
TEST_F(edge_daemon_test, refuses_requests_that_cannot_end_before_sigkill)
{
    auto route = makeRoute("/book/", "desk");
    route.timeout = std::chrono::seconds(8);
    route.target = std::chrono::seconds(2);
    configure({route});
    context->stopping = true;
    context->stoppingSince = bootNow() - std::chrono::seconds(5);
    const auto result = call(post("/book/1", "x"));
    EXPECT_EQ(result.status, 503);
    EXPECT_FALSE(result.head["Retry-After"].empty());
}

// Guards against a stream that is accepted during a stop and cut by the end of the process, because only the time to its first event was looked at.
TEST_F(edge_daemon_test, refuses_streams_that_can_outlast_the_process)
{
    auto route = makeRoute("/read/", "engines");
    route.stream = true;
    route.timeout = std::chrono::seconds(8);
    route.target = std::chrono::milliseconds(600);
    configure({route});
    scripted_server engine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "data: x\n\n")};
    });
    addEndpoint("e1", "engines", engine.address());
    context->stopping = true;
    context->stoppingSince = bootNow() - std::chrono::milliseconds(3500);
    const auto result = call(post("/read/1", "x"));
    EXPECT_EQ(result.status, 503);
    EXPECT_EQ(engine.requests.size(), 0U);
}

// Guards against a call that must not run twice, is accepted during a stop and cut by the end of the process.
TEST_F(edge_daemon_test, refuses_calls_that_must_not_run_twice_unless_their_whole_time_is_left)
{
    auto route = makeRoute("/book/", "desk");
    route.timeout = std::chrono::seconds(8);
    configure({route});
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "ok")};
    });
    addEndpoint("e1", "desk", endpoint.address());
    context->stopping = true;
    context->stoppingSince = bootNow() - std::chrono::milliseconds(500);
    EXPECT_EQ(call(post("/book/1", "x")).status, 503);
    EXPECT_EQ(endpoint.requests.size(), 0U);
    EXPECT_EQ(call(post("/book/1", "x", "X-Deadline-Ms: 2500\r\n")).status, 200);
}

// Guards against a request that is accepted during a stop and gets no answer before the process ends.
TEST_F(edge_daemon_test, a_request_accepted_during_a_stop_is_answered_before_the_end)
{
    auto route = makeRoute("/read/", "engines");
    route.stream = true;
    route.timeout = std::chrono::seconds(8);
    route.target = std::chrono::milliseconds(300);
    configure({route});
    scripted_server engine(loop, [](const http_request &, int) {
        return scripted_answer{.silent = true};
    });
    addEndpoint("e1", "engines", engine.address());
    context->settings.shutdownGrace = std::chrono::milliseconds(4500);
    context->stopping = true;
    context->stoppingSince = bootNow() - std::chrono::milliseconds(1500);
    const auto result = call(post("/read/1", "x"));
    EXPECT_EQ(engine.requests.size(), 1U);
    EXPECT_EQ(result.status, 504);
    EXPECT_LT(result.ms, 2300);
}

TEST_F(edge_daemon_test, a_stream_accepted_during_a_stop_is_not_cut_long_before_the_end)
{
    auto route = makeRoute("/read/", "engines");
    route.stream = true;
    route.timeout = std::chrono::seconds(8);
    route.target = std::chrono::milliseconds(300);
    configure({route});
    scripted_server engine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)), .rest = chunk(event(2)) + "0\r\n\r\n", .pause = std::chrono::milliseconds(1800)};
    });
    addEndpoint("e1", "engines", engine.address());
    context->settings.shutdownGrace = std::chrono::milliseconds(4500);
    context->stopping = true;
    context->stoppingSince = bootNow() - std::chrono::milliseconds(1500);
    const auto result = call(post("/read/1", "x"));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
}

// Guards against oversized headers and bodies that reach an endpoint.
TEST_F(edge_daemon_test, rejects_oversized_headers_and_bodies)
{
    const std::string large(20000, 'x');
    EXPECT_EQ(call(get("/book/1", "X-Large: " + large + "\r\n")).status, 431);
    EXPECT_EQ(call("POST /book/1 HTTP/1.1\r\nHost: host.example\r\nContent-Length: 99999999\r\n\r\n").status, 413);
}

}
