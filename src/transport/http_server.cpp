#include "transport/http_server.h"

#include "transport/boot_clock.h"
#include "transport/spawn.h"
#include "transport/timeout.h"

#include <algorithm>
#include <array>
#include <glog/logging.h>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace lacewinglock
{

namespace
{

constexpr auto writeTimeout = std::chrono::seconds(10); // A client that does not accept a write within this time is treated as disconnected.
constexpr auto lingerTimeout
    = std::chrono::milliseconds(500); // Gives the client time to read an error response. Closing at once with unread input would reset the connection.
constexpr std::size_t maxReadBytes = 64U << 10U; // Received and not yet parsed, beyond a whole header.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50); // After a failed accept, for example when the process has no file descriptors left.

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

// Detects framing that the next server might interpret differently (request smuggling): transfer codings other than "chunked", and more than
// one field that determines the length.
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

std::string_view toText(unanswered_cause cause)
{
    constexpr std::array<std::string_view, 5> names{"client_closed", "connection_failed", "timed_out", "abandoned", "handler_failed"};
    return names.at(static_cast<std::size_t>(cause));
}

struct http_server::state
{
    struct connection;

    state(asio::io_context &eventLoop, server_hooks given)
        : loop(eventLoop)
        , acceptor(eventLoop)
        , hooks(std::move(given))
    {
    }

    // `self` keeps the state from the call on; the coroutine itself may start later.
    task<void> accept(std::shared_ptr<state> self);
    task<void> serve(std::shared_ptr<state> self, std::shared_ptr<connection> client);
    http_response makeErrorResponse(http::status status) const;

    asio::io_context &loop;
    tcp::acceptor acceptor;
    server_hooks hooks;
    std::set<std::shared_ptr<connection>> open;
    std::size_t activeRequests = 0;
};

struct http_server::state::connection : server_reply, std::enable_shared_from_this<connection>
{
    connection(tcp::socket accepted, asio::io_context &loop, const server_hooks &given)
        : socket(std::move(accepted))
        , timer(loop)
        , hooks(given)
    {
    }

    // Closes the socket after `time`, which makes a pending operation fail.
    void startTimeout(duration time)
    {
        timer.start(time, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->noteEnd(unanswered_cause::TimedOut);
                self->close();
            }
        });
    }

    // Closes the idle connection at the limit that is in effect then: it may have risen since the connection became idle.
    void startIdleTimeout(duration time)
    {
        timer.start(time, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (const duration left = self->hooks.limits().idleTimeout - (bootNow() - self->idleSince); left > duration::zero()) {
                self->startIdleTimeout(left);
            } else if (!self->hasInput()) { // A request that has arrived is about to be read.
                self->close();
            }
        });
    }

    // The first cause counts: closing the connection makes further operations fail.
    void noteEnd(unanswered_cause cause)
    {
        if (!endCause) {
            endCause = cause;
        }
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    // True when the first bytes of the next request have arrived but were not read.
    bool hasInput()
    {
        char byte = 0;
        return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    // Waits for input while a request is handled. The end of input means that the client has disconnected.
    void watchForDisconnect()
    {
        watching = true;
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            self->watching = false;
            if (error || self->responseComplete) {
                return;
            }
            char byte = 0;
            const auto got = ::recv(self->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                self->noteEnd(got == 0 ? unanswered_cause::ClientClosed : unanswered_cause::ConnectionFailed);
                self->handleDisconnect();
            }
            // Pipelined requests stay unread. A disconnect after them is detected when they are read.
        });
    }

    void handleDisconnect()
    {
        disconnected = true;
        if (const auto action = std::exchange(disconnectAction, nullptr)) {
            action();
        }
    }

    task<bool> writeText(std::string_view text, std::string_view rest = {})
    {
        startTimeout(writeTimeout);
        boost::system::error_code error;
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(text.data(), text.size()), asio::buffer(rest.data(), rest.size())};
        co_await asio::async_write(socket, buffers, errorTo(error));
        timer.cancel();
        if (error) {
            noteEnd(unanswered_cause::ConnectionFailed);
            handleDisconnect();
        }
        co_return !error;
    }

    task<bool> send(http_response response) override
    {
        responseBegun = true;
        responseComplete = true;
        closeAfter = closeAfter || hooks.closing();
        if (closeAfter) {
            response.set(http::field::connection, "close");
        }
        if (!skipBody) {
            response.content_length(response.body().size());
        }
        const std::string head = headText(response.base());
        co_return co_await writeText(head, skipBody ? std::string_view() : std::string_view(response.body()));
    }

    task<bool> beginStream(http::response_header<> head) override
    {
        responseBegun = true;
        closeAfter = closeAfter || hooks.closing();
        if (closeAfter) {
            head.set(http::field::connection, "close");
        }
        head.erase(http::field::content_length);
        head.set(http::field::transfer_encoding, "chunked");
        co_return co_await writeText(headText(head));
    }

    task<bool> sendChunk(std::string_view piece) override
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
        responseComplete = true;
        co_return co_await writeText("0\r\n\r\n");
    }

    // Looks at the socket, because the end of the connection may have arrived together with the request.
    bool gone() const override
    {
        char byte = 0;
        return disconnected || ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    void onDisconnect(std::function<void()> action) override
    {
        disconnectAction = std::move(action);
    }

    mutable tcp::socket socket; ///< Its native_handle() is not const.
    timeout timer;
    const server_hooks &hooks;
    beast::flat_buffer buffer;
    std::function<void()> disconnectAction;
    std::optional<unanswered_cause> endCause;
    bool idle = true; ///< No byte of the next request has arrived.
    instant idleSince;
    bool closeAfter = false;
    bool skipBody = false;
    bool responseBegun = false;
    bool responseComplete = false;
    bool disconnected = false;
    bool watching = false;
};

task<void> http_server::state::accept(std::shared_ptr<state> self)
{
    while (acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(loop);
        co_await acceptor.async_accept(socket, errorTo(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            LOG(ERROR) << "accept a connection: " << error.message();
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        if (open.size() >= hooks.limits().maxConnections) {
            LOG_EVERY_N(WARNING, 100) << "connection refused: the limit is reached with " << open.size() << " open connections";
            socket.close(error);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto client = std::make_shared<connection>(std::move(socket), loop, hooks);
        open.insert(client);
        spawnBackground(loop, serve(self, std::move(client)), "serve_connection");
    }
}

namespace
{

/// Reads one request within the limits and sends the interim response to "Expect: 100-continue". Returns false when there is no valid request;
/// `errorStatus` is then set if the client should get an error response.
template <typename Connection>
task<bool> readRequest(Connection &client, const server_hooks &hooks, received_request &out, http::status &errorStatus)
{
    const auto limits = hooks.limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    client.buffer.max_size(limits.headerBytes + maxReadBytes);
    boost::system::error_code error;
    client.idle = client.buffer.size() == 0;
    if (client.idle) {
        client.idleSince = bootNow();
        client.startIdleTimeout(limits.idleTimeout);
        co_await client.socket.async_wait(tcp::socket::wait_read, errorTo(error));
        if (error) {
            co_return false;
        }
        client.idle = false;
    }
    client.startTimeout(limits.headerTimeout);
    co_await http::async_read_header(client.socket, client.buffer, parser, errorTo(error));
    if (!error && hasUnsafeFraming(parser.get())) {
        errorStatus = http::status::bad_request;
        co_return false;
    }
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await client.writeText("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!error && !parser.is_done()) {
        client.startTimeout(limits.bodyTimeout);
        co_await http::async_read(client.socket, client.buffer, parser, errorTo(error));
    }
    client.timer.cancel();
    if (!error) {
        out.receivedAt = bootNow();
        out.remote = client.socket.remote_endpoint(error);
        out.message = parser.release();
        co_return true;
    }
    if (error == http::error::header_limit) {
        errorStatus = http::status::request_header_fields_too_large;
    } else if (error == http::error::body_limit) {
        errorStatus = http::status::payload_too_large;
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
               && error != http::error::partial_message) {
        errorStatus = http::status::bad_request;
    }
    co_return false;
}

/// Closes a connection whose client may still be sending. Input is read and discarded for a while, because a reset would discard the response.
template <typename Connection>
task<void> lingeringClose(Connection &client)
{
    boost::system::error_code error;
    client.socket.shutdown(tcp::socket::shutdown_send, error);
    client.startTimeout(lingerTimeout);
    std::array<char, 4096> sink{};
    while (!error) {
        co_await client.socket.async_read_some(asio::buffer(sink), errorTo(error));
    }
    client.timer.cancel();
}

}

http_response http_server::state::makeErrorResponse(http::status status) const
{
    http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = hooks.errorBody(toView(http::obsolete_reason(status)));
    return response;
}

task<void> http_server::state::serve(std::shared_ptr<state> /*self*/, std::shared_ptr<connection> client)
{
    bool keepAlive = true;
    while (keepAlive && client->socket.is_open()) {
        received_request request;
        http::status errorStatus = http::status::unknown;
        if (!co_await readRequest(*client, hooks, request, errorStatus)) {
            if (errorStatus != http::status::unknown) {
                client->closeAfter = true;
                co_await client->send(makeErrorResponse(errorStatus));
                co_await lingeringClose(*client);
            }
            break;
        }
        client->responseBegun = false;
        client->responseComplete = false;
        client->skipBody = request.message.method() == http::verb::head;
        client->closeAfter = !request.message.keep_alive();
        ++activeRequests;
        if (!client->watching) {
            client->watchForDisconnect();
        }
        bool failed = false;
        try {
            co_await hooks.handle(request, *client);
        } catch (const std::exception &error) {
            LOG(ERROR) << "handle a request: " << error.what();
            client->noteEnd(unanswered_cause::HandlerFailed);
            failed = true;
        }
        if (failed && !client->responseBegun) {
            client->closeAfter = true;
            co_await client->send(makeErrorResponse(http::status::internal_server_error));
            client->responseComplete = false;
        }
        --activeRequests;
        client->disconnectAction = nullptr;
        if (client->watching) {
            client->socket.cancel();
            client->watching = false;
        }
        if (!client->responseComplete || client->disconnected) {
            if (hooks.unanswered) {
                hooks.unanswered(request, client->endCause.value_or(unanswered_cause::Abandoned));
            }
            break;
        }
        keepAlive = !client->closeAfter;
        if (!keepAlive) {
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
    spawnDuty(m_state->loop, m_state->accept(m_state), "accept");
}

void http_server::stopAccepting()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

void http_server::closeIdle()
{
    for (const auto &client : m_state->open) {
        if (client->idle && !client->hasInput()) {
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
    return m_state->activeRequests;
}

}
