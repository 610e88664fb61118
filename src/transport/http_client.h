#pragma once

#include "transport/asio.h"
#include "transport/byte_budget.h"
#include "transport/core_time.h"
#include "transport/timeout.h"

#include <absl/status/statusor.h>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace lacewinglock
{

/// State or outcome of an exchange with a server.
enum class exchange_state {
    InProgress, ///< The response has not ended yet.
    Complete, ///< The response ended with its last chunk, its full length or a permitted close.
    NotSent, ///< The connection failed or took until the deadline, so no byte of the request reached the server.
    Lost, ///< The connection broke before the end of the response. The server may have run the request.
    Malformed, ///< The received bytes are not a valid HTTP response, or it exceeds a limit.
    TimedOut, ///< The deadline passed after the request was sent.
    Cancelled, ///< cancel() was called.
};

/// True when the head of the response has arrived, if this is the result of client_exchange::begin().
constexpr bool hasHead(exchange_state state)
{
    return state == exchange_state::InProgress || state == exchange_state::Complete;
}

/// Name of a state for logs, in snake case.
std::string_view toText(exchange_state state);

/// Persistent connection to a server.
struct client_connection
{
    explicit client_connection(asio::io_context &loop);

    tcp::socket socket;
    beast::flat_buffer buffer;
    instant idleSince;
    duration idleLimit{}; ///< Time for which the server keeps it open when idle.
};

/// Traffic counters of one connection pool.
struct client_counters
{
    std::uint64_t connections = 0; ///< Connection attempts.
    std::uint64_t connectFailures = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/// Idle persistent connections by server address. It belongs to one event loop and is not thread-safe.
class connection_pool
{
public:
    explicit connection_pool(asio::io_context &loop);

    /// Removes and returns an idle connection that is still open and that the server keeps open for more than `margin`. Returns null when there is
    /// none.
    std::shared_ptr<client_connection> take(const tcp::endpoint &server, duration margin);
    /// Returns a connection to the pool. Above the limit of a server, its oldest connection is closed.
    void put(const tcp::endpoint &server, std::shared_ptr<client_connection> connection);
    /// Closes connections that were idle for longer than their server keeps them open.
    void expire();

    asio::io_context &loop() const;
    client_counters &counters();
    /// Bounds the bodies that are held until they are complete, of all exchanges together.
    const std::shared_ptr<byte_budget> &bodies() const;

private:
    asio::io_context &m_loop;
    std::shared_ptr<byte_budget> m_bodies;
    client_counters m_counters;
    std::unordered_map<std::uint64_t, std::deque<std::shared_ptr<client_connection>>> m_idle; ///< Key: IPv4 address and port. Newest at the back.
};

/// Parses "IP:port" with an IPv4 address. Returns InvalidArgument otherwise.
absl::StatusOr<tcp::endpoint> parseAddress(std::string_view text);

struct exchange_options
{
    instant deadline; ///< Time at which the exchange ends as TimedOut.
    duration connectTimeout = std::chrono::milliseconds(400); ///< For the TCP handshake. It is below the second after which TCP repeats a lost first packet.
    bool reuseConnection = true; ///< Allows an idle pooled connection, which the server may close just as the request is sent.
    /// Allows the connection to be pooled afterwards. False for calls whose response bears no request ID: a late second copy of it could not be told from
    /// the response to the next request.
    bool keepConnection = true;
    duration minIdleTimeLeft = std::chrono::milliseconds(500); ///< Pooled connections that the server closes sooner are not used.
    /// Resets the connection when the exchange times out or is cancelled, so that bytes still in the send buffer do not arrive later.
    bool resetWhenAbandoned = false;
    /// Counts the body that readAll() keeps against the budget of the pool. False for calls that must work while endpoints fill it.
    bool countBody = true;
    /// Header field that identifies the request. Responses with another value are skipped. A response without it is accepted
    /// only as the first one of a connection, which is closed afterwards.
    std::string_view responseIdField;
};

/// One request to a server and its response, which is read incrementally. Must be owned by a shared_ptr.
class client_exchange : public std::enable_shared_from_this<client_exchange>
{
public:
    client_exchange(connection_pool &pool, tcp::endpoint server, exchange_options options);
    ~client_exchange();
    client_exchange(const client_exchange &) = delete;
    client_exchange &operator=(const client_exchange &) = delete;

    /// Sends the request and reads the response header. Returns InProgress, or Complete for a response without a body, on success.
    task<exchange_state> begin(const http_request &request);
    /// Waits for more of the body and appends it to `out`.
    task<exchange_state> readSome(std::string &out);
    /// Appends the rest of the body. Cancels the exchange and returns Malformed when `out` exceeds `limit` bytes, or when the budget of the pool is used
    /// up and this body is the largest. `out` is empty unless the result is Complete; then the bytes count against the budget for the lifetime of the
    /// exchange.
    task<exchange_state> readAll(std::string &out, std::size_t limit);
    /// Counts bytes that the caller of readSome() keeps against the budget of the pool. If the budget is used up, the next read may return Malformed.
    void holdBytes(std::size_t bytes);
    /// Closes the connection, upon which the server abandons the request. A pending call returns Cancelled.
    void cancel();
    /// Replaces the deadline, also for a pending call.
    void setDeadline(instant deadline);

    /// True from begin() until the connection is open.
    bool connecting() const;
    /// True once the whole request was written.
    bool requestSent() const;
    /// Response header; valid after a successful begin().
    const http::response_header<> &head() const;
    /// True when the response has neither a length nor chunks and ends with its connection; valid after a successful begin().
    bool endsWithConnection() const;

private:
    task<exchange_state> send(const http_request &request);
    task<exchange_state> connect();
    task<exchange_state> readHead(bool skipBody);
    task<void> writeRequest(std::shared_ptr<const http_request> request);
    exchange_state failure(const boost::system::error_code &error) const;
    void armTimer(duration time);
    void abandonConnection();
    void release();
    bool isForeignResponse() const;
    bool isCopyRecognisable() const;

    connection_pool &m_pool;
    tcp::endpoint m_server;
    exchange_options m_options;
    std::shared_ptr<client_connection> m_connection;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::optional<byte_share> m_held;
    timeout m_timer;
    std::string m_responseId;
    bool m_connecting = false;
    bool m_reused = false; ///< The connection has carried an exchange before.
    bool m_timedOut = false;
    bool m_lateReads = false; ///< Reads are allowed after the deadline for a short time.
    bool m_cancelled = false;
    bool m_overBudget = false; ///< The body was given up because all bodies together were too large.
    bool m_requestWritten = false;
    bool m_writeFailed = false;
    bool m_bodyEndsAtClose = false;
    bool m_done = false;
};

/// Sends a request and reads the whole response, for control calls. Returns Unavailable when the request was not sent and Unknown when the server
/// may have run it.
task<absl::StatusOr<http_response>> callServer(connection_pool &pool, tcp::endpoint server, http_request request, exchange_options options);

}
