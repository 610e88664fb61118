#include "transport/http_server.h"

#include "transport/boot_clock.h"

#include <algorithm>
#include <glog/logging.h>
#include <set>
#include <sys/socket.h>

namespace lacewinglock
{

namespace
{

constexpr auto writeTimeout = std::chrono::seconds(10); // A client that takes nothing for this long is as good as gone.
constexpr auto lingerTime = std::chrono::milliseconds(500); // Lets the client read an error answer before unread input resets the connection.
constexpr auto acceptRetry = std::chrono::milliseconds(50); // Pause after a failed accept, such as with no descriptor left.

std::string headText(const http::response_header<> &head)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
    out += toView(head.reason());
    out += "\r\n";
    for (const auto &field : head) {
        out += toView(field.name_string());
        out += ": ";
        out += toView(field.value());
        out += "\r\n";
    }
    out += "\r\n";
    return out;
}

// Transfer codings other than a single "chunked" could be framed differently by the next server.
bool hasUnsafeFraming(const http::request_header<> &head)
{
    std::size_t encodings = 0;
    std::size_t lengths = 0;
    for (const auto &field : head) {
        if (field.name() == http::field::transfer_encoding) {
            ++encodings;
            if (!beast::iequals(field.value(), "chunked")) {
                return true;
            }
        } else if (field.name() == http::field::content_length) {
            ++lengths;
        }
    }
    return encodings + lengths > 1;
}

}

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    struct connection;

    state(asio::io_context &io, server_hooks given)
        : loop(io)
        , acceptor(io)
        , hooks(std::move(given))
    {
    }

    task<void> accept();
    task<void> serve(std::shared_ptr<connection> client);

    asio::io_context &loop;
    tcp::acceptor acceptor;
    server_hooks hooks;
    std::set<std::shared_ptr<connection>> open;
    std::size_t busy = 0;
};

struct http_server::state::connection : server_reply, std::enable_shared_from_this<connection>
{
    connection(tcp::socket accepted, asio::io_context &loop)
        : socket(std::move(accepted))
        , timer(loop)
    {
    }

    // Closes the socket when the time is up; a pending operation then fails.
    void arm(duration time)
    {
        timer.expires_after(time);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            if (const auto self = weak.lock(); self && !error) {
                self->close();
            }
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    // Waits for input while a request is answered: end of input means that the client has left.
    void watch()
    {
        watching = true;
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            self->watching = false;
            if (error || self->answered) {
                return;
            }
            char byte = 0;
            const auto got = ::recv(self->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                self->noteGone();
            }
            // Pipelined input stays unread; a close behind it is seen when it is read.
        });
    }

    void noteGone()
    {
        clientGone = true;
        if (const auto action = std::exchange(goneAction, nullptr)) {
            action();
        }
    }

    task<bool> writeText(std::string_view text)
    {
        arm(writeTimeout);
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(text.data(), text.size()), errorTo(error));
        timer.cancel();
        if (error) {
            noteGone();
        }
        co_return !error;
    }

    task<bool> send(http_response answer) override
    {
        answered = true;
        if (closeAfter) {
            answer.set(http::field::connection, "close");
        }
        if (!skipBody) {
            answer.content_length(answer.body().size());
        }
        std::string text = headText(answer.base());
        if (!skipBody) {
            text += answer.body();
        }
        co_return co_await writeText(text);
    }

    task<bool> beginStream(http::response_header<> head) override
    {
        if (closeAfter) {
            head.set(http::field::connection, "close");
        }
        head.erase(http::field::content_length);
        head.set(http::field::transfer_encoding, "chunked");
        co_return co_await writeText(headText(head));
    }

    task<bool> sendPiece(std::string_view piece) override
    {
        char size[20];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        std::string text(size, static_cast<std::size_t>(length));
        text += piece;
        text += "\r\n";
        co_return co_await writeText(text);
    }

    task<bool> endStream() override
    {
        answered = true;
        co_return co_await writeText("0\r\n\r\n");
    }

    bool gone() const override
    {
        return clientGone;
    }

    void onGone(std::function<void()> action) override
    {
        goneAction = std::move(action);
    }

    tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    std::function<void()> goneAction;
    bool idle = true; ///< No byte of a request has arrived.
    bool closeAfter = false;
    bool skipBody = false;
    bool answered = false;
    bool clientGone = false;
    bool watching = false;
};

task<void> http_server::state::accept()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(loop);
        co_await acceptor.async_accept(socket, errorTo(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            LOG(ERROR) << "accepting a connection: " << error.message();
            co_await sleepFor(acceptRetry);
            continue;
        }
        if (open.size() >= hooks.limits().maxConnections) {
            LOG_EVERY_N(WARNING, 100) << "connection refused: " << open.size() << " are open";
            socket.close(error);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto client = std::make_shared<connection>(std::move(socket), loop);
        open.insert(client);
        asio::co_spawn(loop, serve(std::move(client)), asio::detached);
    }
}

namespace
{

/// Reads one request, with the limits and an interim answer to "Expect: 100-continue".
template <typename Connection>
task<bool> readRequest(Connection &client, const server_hooks &hooks, received_request &out, http::status &refusal)
{
    const auto limits = hooks.limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    boost::system::error_code error;
    client.idle = client.buffer.size() == 0;
    client.arm(limits.idleTime);
    if (client.idle) {
        co_await client.socket.async_wait(tcp::socket::wait_read, errorTo(error));
        if (error) {
            co_return false;
        }
        client.idle = false;
    }
    client.arm(limits.headerTime);
    co_await http::async_read_header(client.socket, client.buffer, parser, errorTo(error));
    if (!error && hasUnsafeFraming(parser.get())) {
        refusal = http::status::bad_request;
        co_return false;
    }
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await client.writeText("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!error && !parser.is_done()) {
        client.arm(limits.bodyTime);
        co_await http::async_read(client.socket, client.buffer, parser, errorTo(error));
    }
    client.timer.cancel();
    if (!error) {
        out.readAt = bootNow();
        out.remote = client.socket.remote_endpoint(error);
        out.message = parser.release();
        co_return true;
    }
    if (error == http::error::header_limit) {
        refusal = http::status::request_header_fields_too_large;
    } else if (error == http::error::body_limit) {
        refusal = http::status::payload_too_large;
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
               && error != http::error::partial_message) {
        refusal = http::status::bad_request;
    }
    co_return false;
}

/// Ends a connection whose client may still be sending, without a reset that would discard the answer.
template <typename Connection>
task<void> lingeringClose(Connection &client)
{
    boost::system::error_code error;
    client.socket.shutdown(tcp::socket::shutdown_send, error);
    client.arm(lingerTime);
    std::array<char, 4096> sink{};
    while (!error) {
        co_await client.socket.async_read_some(asio::buffer(sink), errorTo(error));
    }
    client.timer.cancel();
}

}

task<void> http_server::state::serve(std::shared_ptr<connection> client)
{
    const auto self = shared_from_this();
    bool keep = true;
    while (keep && client->socket.is_open()) {
        received_request request;
        http::status refusal = http::status::unknown;
        if (!co_await readRequest(*client, hooks, request, refusal)) {
            if (refusal != http::status::unknown) {
                http_response answer(refusal, 11);
                answer.set(http::field::content_type, "application/json");
                answer.body() = hooks.errorBody(toView(http::obsolete_reason(refusal)));
                client->closeAfter = true;
                co_await client->send(std::move(answer));
                co_await lingeringClose(*client);
            }
            break;
        }
        client->answered = false;
        client->skipBody = request.message.method() == http::verb::head;
        client->closeAfter = !request.message.keep_alive() || hooks.closing();
        ++busy;
        if (!client->watching) {
            client->watch();
        }
        co_await hooks.handle(request, *client);
        --busy;
        client->goneAction = nullptr;
        if (client->watching) {
            client->socket.cancel();
            client->watching = false;
        }
        if (!client->answered || client->clientGone) {
            break;
        }
        keep = !client->closeAfter;
        if (!keep) {
            co_await lingeringClose(*client);
        }
    }
    client->close();
    open.erase(client);
}

http_server::http_server(asio::io_context &loop, server_hooks hooks)
    : m_state(std::make_shared<state>(loop, std::move(hooks)))
{
}

http_server::~http_server()
{
    stopAccepting();
    for (const auto &client : m_state->open) {
        client->close();
    }
}

void http_server::listen(const tcp::endpoint &address)
{
    m_state->acceptor.open(address.protocol());
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_state->acceptor.bind(address);
    m_state->acceptor.listen(512);
    asio::co_spawn(m_state->loop, m_state->accept(), asio::detached);
}

void http_server::stopAccepting()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

void http_server::closeIdle()
{
    for (const auto &client : m_state->open) {
        if (client->idle) {
            client->close();
        }
    }
}

std::size_t http_server::connections() const
{
    return m_state->open.size();
}

std::size_t http_server::requests() const
{
    return m_state->busy;
}

}
