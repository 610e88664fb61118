#include "edge_fixture.h"

#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

class http_client_test : public edge_fixture
{
protected:
    exchange_state exchange(tcp::endpoint server, exchange_options options)
    {
        std::optional<exchange_state> state;
        startExchange(std::move(server), options, state);
        runUntil(
            [&] {
                return state.has_value();
            },
            3s);
        return state.value_or(exchange_state::InProgress);
    }

    /// Like exchange(), without waiting: `state` is set when the exchange has ended.
    void startExchange(tcp::endpoint server, exchange_options options, std::optional<exchange_state> &state)
    {
        asio::co_spawn(loop, exchangeOnce(std::move(server), options, state), asio::detached);
    }

private:
    task<void> exchangeOnce(tcp::endpoint server, exchange_options options, std::optional<exchange_state> &state)
    {
        const auto current = std::make_shared<client_exchange>(context->pool, server, options);
        http_request request(http::verb::post, "/order", 11);
        request.set(http::field::host, "platform");
        request.prepare_payload();
        auto result = co_await current->begin(request);
        std::string body;
        if (result == exchange_state::InProgress) {
            result = co_await current->readAll(body, 1U << 20U);
        }
        state = result;
    }

protected:
    task<void> readEvents(tcp::endpoint server, instant deadline, std::optional<exchange_state> &state)
    {
        const exchange_options options{.deadline = deadline, .keepConnection = false};
        const auto current = std::make_shared<client_exchange>(context->pool, server, options);
        http_request request(http::verb::get, "/events", 11);
        auto result = co_await current->begin(request);
        std::string body;
        while (result == exchange_state::InProgress) {
            result = co_await current->readSome(body);
            current->setDeadline(deadline);
        }
        state = result;
    }
};

}

// Guards against an order that is sent after its deadline because the machine was suspended between the decision and the write.
TEST_F(http_client_test, sends_nothing_after_the_deadline)
{
    scripted_server server(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "{}")};
    });
    const auto address = *parseAddress(server.address());
    ASSERT_EQ(exchange(address, {.deadline = bootNow() + 1s}), exchange_state::Complete);
    // The connection is reused, so no timer runs between the call and the write.
    EXPECT_EQ(exchange(address, {.deadline = bootNow() - 1ms}), exchange_state::NotSent);
    EXPECT_EQ(server.requests.size(), 1U);
}

TEST_F(http_client_test, an_exchange_that_was_cancelled_before_it_began_sends_nothing)
{
    scripted_server server(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "{}")};
    });
    const auto address = *parseAddress(server.address());
    ASSERT_EQ(exchange(address, {.deadline = bootNow() + 1s}), exchange_state::Complete);
    const exchange_options options{.deadline = bootNow() + 1s};
    const auto cancelled = std::make_shared<client_exchange>(context->pool, address, options);
    cancelled->cancel();
    std::optional<exchange_state> state;
    const http_request request(http::verb::get, "/", 11);
    asio::co_spawn(
        loop,
        [&]() -> task<void> {
            state = co_await cancelled->begin(request);
        },
        asio::detached);
    runUntil(
        [&] {
            return state.has_value();
        },
        1s);
    EXPECT_EQ(state, exchange_state::Cancelled);
    EXPECT_EQ(server.requests.size(), 1U);
}

// Guards against bytes of a cancelled exchange that were read before the cancellation and are passed on after it.
TEST_F(http_client_test, a_cancelled_exchange_returns_no_more_bytes)
{
    scripted_server server(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + chunk(event(2)), .silent = true};
    });
    const exchange_options options{.deadline = bootNow() + 1s};
    const auto current = std::make_shared<client_exchange>(context->pool, *parseAddress(server.address()), options);
    const http_request request(http::verb::get, "/", 11);
    std::optional<exchange_state> state;
    std::string received;
    asio::co_spawn(
        loop,
        [&]() -> task<void> {
            co_await current->begin(request);
            co_await sleepFor(20ms); // Both events have arrived.
            while (received.empty()) {
                co_await current->readSome(received);
            }
            received.clear();
            // The read completes from the buffer in the next turn of the loop, after the cancellation.
            asio::post(loop, [&] {
                current->cancel();
            });
            state = co_await current->readSome(received);
        },
        asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return state.has_value();
        },
        1s));
    EXPECT_EQ(state, exchange_state::Cancelled);
    EXPECT_EQ(received, "");
}

// Guards against parts of bodies that fill the budget while their requests go on elsewhere, so that sound answers are given up.
TEST_F(http_client_test, a_body_that_breaks_off_is_not_kept)
{
    scripted_server server(loop, [](const http_request &, int) {
        return scripted_answer{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(100'000, 'x'), .close = true};
    });
    const exchange_options options{.deadline = bootNow() + 1s};
    const auto current = std::make_shared<client_exchange>(context->pool, *parseAddress(server.address()), options);
    const http_request request(http::verb::get, "/", 11);
    std::optional<exchange_state> state;
    std::string body;
    asio::co_spawn(
        loop,
        [&]() -> task<void> {
            co_await current->begin(request);
            state = co_await current->readAll(body, 1U << 20U);
        },
        asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return state.has_value();
        },
        1s));
    EXPECT_EQ(state, exchange_state::Lost);
    EXPECT_EQ(body, "");
    EXPECT_EQ(context->pool.bodies()->held(), 0U);
}

// Guards against bytes of an order that was given up and that arrive later.
TEST_F(http_client_test, resets_the_connection_of_an_order_that_is_given_up)
{
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    EXPECT_EQ(exchange(acceptor.local_endpoint(), {.deadline = bootNow() + 100ms, .resetWhenAbandoned = true}), exchange_state::TimedOut);
    tcp::socket accepted(loop);
    acceptor.accept(accepted);
    std::array<char, 1000> buffer{};
    boost::system::error_code error;
    asio::read(accepted, asio::buffer(buffer), error); // What had arrived before, then the end of the connection.
    EXPECT_EQ(error, asio::error::connection_reset);
}

// Guards against an answer that arrived in time and is given up because this process did not run until after the deadline.
TEST_F(http_client_test, reads_an_answer_that_arrived_before_the_deadline_while_the_process_did_not_run)
{
    asio::io_context serverLoop;
    tcp::acceptor acceptor(serverLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    std::thread server([&acceptor] {
        auto socket = acceptor.accept();
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n");
        std::this_thread::sleep_for(40ms);
        asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x')));
        char byte = 0;
        boost::system::error_code ended;
        socket.read_some(asio::buffer(&byte, 1), ended);
    });
    std::optional<exchange_state> state;
    startExchange(acceptor.local_endpoint(), {.deadline = bootNow() + 100ms, .keepConnection = false}, state);
    loop.run_for(10ms); // Connects and sends.
    std::this_thread::sleep_for(200ms);
    runUntil(
        [&] {
            return state.has_value();
        },
        1s);
    EXPECT_EQ(state, exchange_state::Complete);
    server.join();
}

// Guards against a stream that never reaches its deadline, because each event after a pause of this process allows late reads again.
TEST_F(http_client_test, a_deadline_that_passed_during_a_pause_ends_a_stream_whose_deadline_is_set_at_each_event)
{
    asio::io_context serverLoop;
    tcp::acceptor acceptor(serverLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    std::thread server([&acceptor] {
        auto socket = acceptor.accept();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")), error);
        const auto end = std::chrono::steady_clock::now() + 1500ms;
        while (!error && std::chrono::steady_clock::now() < end) {
            asio::write(socket, asio::buffer(std::string_view("1\r\nx\r\n")), error);
            std::this_thread::sleep_for(2ms);
        }
        asio::write(socket, asio::buffer(std::string_view("0\r\n\r\n")), error);
    });
    const instant deadline = bootNow() + 100ms;
    std::optional<exchange_state> state;
    asio::co_spawn(loop, readEvents(acceptor.local_endpoint(), deadline, state), asio::detached);
    loop.run_for(50ms);
    std::this_thread::sleep_for(100ms);
    runUntil(
        [&] {
            return state.has_value();
        },
        3s);
    EXPECT_EQ(state, exchange_state::TimedOut);
    EXPECT_LT(bootNow() - deadline, 500ms);
    server.join();
}

}
