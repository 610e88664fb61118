#include "transport/boot_clock.h"
#include "transport/http_server.h"

#include <array>
#include <gtest/gtest.h>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// A server whose answers take 20 ms, and one caller with a blocking socket.
class http_server_test : public testing::Test
{
protected:
    http_server_test()
        : server(loop,
                 {
                     .handle =
                         [this](received_request & /*request*/, server_reply &reply) {
                             return answerLater(reply);
                         },
                     .limits =
                         [this] {
                             return limits;
                         },
                     .closing =
                         [this] {
                             return closing;
                         },
                     .errorBody =
                         [](std::string_view reason) {
                             return std::string(reason);
                         },
                     .unanswered =
                         [this](const received_request & /*request*/, unanswered_cause cause) {
                             unanswered = cause;
                         },
                 })
        , caller(callerLoop)
    {
    }

    void connect()
    {
        tcp::acceptor probe(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const auto address = probe.local_endpoint();
        probe.close();
        server.listen(address);
        caller.connect(address);
        loop.run_for(20ms);
    }

    /// Writes as a caller whose bytes arrive while the server does not run for 80 ms.
    void writeDuringPause(std::string_view bytes)
    {
        std::this_thread::sleep_for(80ms);
        write(bytes);
    }

    void write(std::string_view bytes)
    {
        asio::write(caller, asio::buffer(bytes.data(), bytes.size()));
        loop.restart();
    }

    /// Runs the server for 300 ms and returns the bytes that the caller receives.
    std::string readAnswer()
    {
        std::string out;
        std::array<char, 4096> piece{};
        caller.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + 300ms;
        while (std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(5ms);
            boost::system::error_code error;
            const auto got = caller.read_some(asio::buffer(piece), error);
            out.append(piece.data(), got);
            if (error && error != asio::error::would_block) {
                break;
            }
        }
        return out;
    }

    asio::io_context loop{1};
    asio::io_context callerLoop;
    server_limits limits;
    http_server server;
    tcp::socket caller;
    int handled = 0;
    bool goneAtStart = false;
    bool beginsStream = false;
    bool fails = false;
    bool closing = false;
    std::optional<unanswered_cause> unanswered;

private:
    task<void> answerLater(server_reply &reply)
    {
        ++handled;
        goneAtStart = reply.gone();
        co_await sleepFor(20ms);
        if (beginsStream) {
            co_await reply.beginStream(http::response_header<>{});
        }
        if (fails) {
            throw std::runtime_error("test");
        }
        co_await reply.send(http_response(http::status::ok, 11));
    }
};

constexpr std::string_view wholeRequest = "GET / HTTP/1.1\r\nHost: host.example\r\n\r\n";

}

// Guards against a request that is served and cut off by the idle timeout of its connection, which expired while the process did not run.
TEST_F(http_server_test, an_expired_idle_timeout_does_not_cut_a_request_that_has_arrived)
{
    limits.idleTimeout = 50ms;
    connect();
    writeDuringPause(wholeRequest);
    EXPECT_TRUE(readAnswer().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled, 1);
}

// Guards against the same with the timeouts of header and body: a request that is passed on gets its answer.
TEST_F(http_server_test, an_expired_header_timeout_does_not_cut_a_request_that_was_passed_on)
{
    limits.headerTimeout = 50ms;
    connect();
    write(wholeRequest.substr(0, 10));
    loop.run_for(20ms);
    writeDuringPause(wholeRequest.substr(10));
    const bool answered = readAnswer().starts_with("HTTP/1.1 200");
    EXPECT_EQ(answered, handled == 1);
}

TEST_F(http_server_test, an_expired_body_timeout_does_not_cut_a_request_that_was_passed_on)
{
    limits.bodyTimeout = 50ms;
    connect();
    write("POST / HTTP/1.1\r\nHost: host.example\r\nContent-Length: 4\r\n\r\n12");
    loop.run_for(20ms);
    writeDuringPause("34");
    const bool answered = readAnswer().starts_with("HTTP/1.1 200");
    EXPECT_EQ(answered, handled == 1);
}

// Guards against a planned stop that closes a connection whose next request has arrived but was not yet read.
TEST_F(http_server_test, closing_idle_connections_does_not_cut_a_request_that_has_arrived)
{
    connect();
    write(wholeRequest);
    server.closeIdle();
    EXPECT_TRUE(readAnswer().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled, 1);
}

// Guards against callers that reuse a connection of a stopping server because the request had begun before the stop.
TEST_F(http_server_test, an_answer_during_a_stop_says_close_although_its_request_began_before)
{
    connect();
    write(wholeRequest);
    loop.run_for(5ms);
    ASSERT_EQ(handled, 1);
    closing = true;
    EXPECT_NE(readAnswer().find("Connection: close"), std::string::npos);
}

// Guards against a timeout that never ends a connection.
TEST_F(http_server_test, closes_a_connection_that_stays_idle)
{
    limits.idleTimeout = 50ms;
    connect();
    loop.restart();
    loop.run_for(100ms);
    EXPECT_EQ(server.connections(), 0U);
}

TEST_F(http_server_test, a_raised_idle_limit_holds_for_connections_that_are_idle_already)
{
    limits.idleTimeout = 50ms;
    connect();
    limits.idleTimeout = 300ms;
    loop.restart();
    loop.run_for(150ms);
    EXPECT_EQ(server.connections(), 1U);
    write(wholeRequest);
    EXPECT_TRUE(readAnswer().starts_with("HTTP/1.1 200"));
    loop.restart();
    loop.run_for(400ms);
    EXPECT_EQ(server.connections(), 0U);
}

// Guards against a caller that waits for ever, and a stop that waits for it, because the handler of its request failed.
TEST_F(http_server_test, a_handler_that_fails_ends_its_request_with_an_error)
{
    fails = true;
    connect();
    write(wholeRequest);
    const auto answer = readAnswer();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 500")) << answer;
    EXPECT_EQ(unanswered, unanswered_cause::HandlerFailed);
    EXPECT_EQ(server.requests(), 0U);
}

// Guards against a stream whose handler failed and that stays open, or looks complete.
TEST_F(http_server_test, a_handler_that_fails_amid_a_stream_closes_the_connection_without_the_end_mark)
{
    fails = true;
    beginsStream = true;
    connect();
    write(wholeRequest);
    const auto answer = readAnswer();
    EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
    EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos) << answer;
    EXPECT_EQ(unanswered, unanswered_cause::HandlerFailed);
    EXPECT_EQ(server.requests(), 0U);
    EXPECT_EQ(server.connections(), 0U);
}

// Guards against an access to freed memory, shown by `make sanitize`, when a server ends before its event loop runs.
TEST(http_server, a_server_that_ends_before_its_event_loop_runs_is_not_accessed)
{
    asio::io_context loop(1);
    {
        http_server server(loop, {});
        server.listen(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    }
    EXPECT_NO_THROW(loop.run());
}

// Guards against idle connections that are reset after a pause of the process although their next requests have arrived. The event loop takes only some
// of the ready sockets before the expired timers.
TEST_F(http_server_test, a_pause_does_not_reset_idle_connections_whose_requests_have_arrived)
{
    limits.idleTimeout = 300ms;
    connect();
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 300; ++i) {
        callers.emplace_back(callerLoop);
        callers.back().connect(caller.remote_endpoint());
    }
    loop.restart();
    loop.run_for(50ms);
    ASSERT_EQ(server.connections(), 301U);
    std::this_thread::sleep_for(400ms);
    for (auto &other : callers) {
        asio::write(other, asio::buffer(wholeRequest.data(), wholeRequest.size()));
    }
    loop.restart();
    loop.run_for(500ms);
    std::size_t answered = 0;
    for (auto &other : callers) {
        std::array<char, 100> answer{};
        boost::system::error_code error;
        other.non_blocking(true);
        answered += other.read_some(asio::buffer(answer), error) > 0 ? 1U : 0U;
    }
    EXPECT_EQ(answered, callers.size());
}

// Guards against a request that is passed on although its caller left while the process did not run.
TEST_F(http_server_test, a_caller_that_left_during_a_pause_is_gone_when_its_request_is_handled)
{
    connect();
    writeDuringPause(wholeRequest);
    caller.close();
    std::this_thread::sleep_for(20ms);
    loop.run_for(5ms);
    ASSERT_EQ(handled, 1);
    EXPECT_TRUE(goneAtStart);
}

}
