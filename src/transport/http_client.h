#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

#include <absl/status/statusor.h>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace lacewinglock
{

/// How an exchange with a server stands.
enum class exchange_state {
    Going, ///< More of the answer is to come.
    Whole, ///< The answer ended as HTTP says it must.
    NotSent, ///< No connection: certainly no byte of the request reached the server.
    Lost, ///< The connection ended early; the server may have run the request.
    Malformed, ///< Bytes that are no HTTP answer.
    TimedOut, ///< The deadline passed after the request was sent.
    Cancelled, ///< By cancel().
};

/// Text for logs.
std::string_view toText(exchange_state state);

/// A kept connection to a server.
struct client_connection
{
    explicit client_connection(asio::io_context &loop)
        : socket(loop)
    {
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    instant idleSince;
    duration idleLimit{}; ///< How long the server keeps it open.
};

/// What http_client counts.
struct client_counters
{
    std::uint64_t connections = 0; ///< Opened.
    std::uint64_t connectFailures = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/// Kept connections by server address, for one event loop.
class connection_pool
{
public:
    explicit connection_pool(asio::io_context &loop);

    /// A kept connection that is not known to be closed and whose server keeps it for at least `margin` more, or null.
    std::shared_ptr<client_connection> take(const tcp::endpoint &server, duration margin);
    void put(const tcp::endpoint &server, std::shared_ptr<client_connection> connection);
    /// Closes connections that were idle for longer than their server keeps them.
    void expire();

    asio::io_context &loop() const;
    client_counters &counters();

private:
    asio::io_context &m_loop;
    client_counters m_counters;
    std::unordered_map<std::uint64_t, std::deque<std::shared_ptr<client_connection>>> m_idle; ///< By address and port; newest at the back.
};

/// Parses "IP:port".
absl::StatusOr<tcp::endpoint> parseAddress(std::string_view text);

struct exchange_options
{
    instant deadline; ///< The exchange ends as TimedOut then.
    duration connectTimeout = std::chrono::milliseconds(400); ///< Of one handshake; a lost first packet is repeated only after a second.
    bool keptConnection = true; ///< A kept connection may be used. One can break just as the request is sent.
    duration keptMargin = std::chrono::milliseconds(500); ///< A kept connection that its server closes sooner is not used.
    std::string_view answerIdField; ///< Answers whose field of this name has another value than the request's are skipped.
};

/// One request to a server and its answer, read as it arrives. Always held by a shared_ptr.
class client_exchange : public std::enable_shared_from_this<client_exchange>
{
public:
    client_exchange(connection_pool &pool, tcp::endpoint server, exchange_options options);
    ~client_exchange();
    client_exchange(const client_exchange &) = delete;
    client_exchange &operator=(const client_exchange &) = delete;

    /// Sends the request and reads the head of its answer. Going or Whole when there is one.
    task<exchange_state> begin(const http_request &request);
    /// Appends what arrives next of the body.
    task<exchange_state> readSome(std::string &out);
    /// Appends the whole body, up to `limit` bytes; Malformed beyond it.
    task<exchange_state> readAll(std::string &out, std::size_t limit);
    /// Closes the connection; a waiting call ends with Cancelled. Servers drop the request then.
    void cancel();
    /// The waiting call ends as TimedOut at this time instead.
    void setDeadline(instant deadline);

    const http::response_header<> &head() const;

private:
    task<exchange_state> connect();
    task<exchange_state> readHead(bool skipBody);
    task<void> writeRequest(std::shared_ptr<const http_request> request);
    exchange_state failure(const boost::system::error_code &error) const;
    void armTimer();
    void release();
    bool skipsAnswer() const;

    connection_pool &m_pool;
    tcp::endpoint m_server;
    exchange_options m_options;
    std::shared_ptr<client_connection> m_connection;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    asio::steady_timer m_timer;
    std::string m_answerId;
    bool m_timedOut = false;
    bool m_cancelled = false;
    bool m_connecting = false;
    bool m_written = false;
    bool m_endsWithConnection = false;
    bool m_done = false;
};

/// A request whose whole answer is wanted, such as a control call.
task<absl::StatusOr<http_response>> callServer(connection_pool &pool, tcp::endpoint server, http_request request, exchange_options options);

}
