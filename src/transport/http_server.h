#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Limits for clients of the server.
struct server_limits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    duration bodyTimeout = std::chrono::seconds(10); ///< From the end of the header to the end of the body.
    duration idleTimeout = std::chrono::seconds(15); ///< Maximum time between two requests of a connection.
    std::size_t maxConnections = 1500;
};

/// Response channel of one request. Exactly one complete response or one stream may be sent. Functions that send return false when the client has
/// disconnected or the write timed out.
class server_reply
{
public:
    virtual ~server_reply() = default;

    /// Sends a complete response with Content-Length. The server sets the hop-by-hop fields.
    virtual task<bool> send(http_response response) = 0;
    /// Sends the header of a response whose body follows in chunks.
    virtual task<bool> beginStream(http::response_header<> head) = 0;
    virtual task<bool> sendChunk(std::string_view piece) = 0;
    /// Sends the last chunk. Without it, the connection is closed, so that the client does not take the stream for complete.
    virtual task<bool> endStream() = 0;
    /// True once the client has disconnected.
    virtual bool gone() const = 0;
    /// Sets an action to be called once when the client disconnects. An empty function removes it.
    virtual void onDisconnect(std::function<void()> action) = 0;
};

struct received_request
{
    http_request message;
    instant receivedAt; ///< Time at which the last byte arrived.
    tcp::endpoint remote;
};

/// Why a request that was being handled ended without a complete response.
enum class unanswered_cause {
    ClientClosed, ///< The client closed the connection.
    ConnectionFailed, ///< The connection was reset, or a write failed.
    TimedOut, ///< A timeout of this server closed the connection.
    Abandoned, ///< The handler ended before its response was complete, for example after a stream broke.
    HandlerFailed, ///< The handler ended with an exception.
};

/// Name of a cause for logs, in snake case.
std::string_view toText(unanswered_cause cause);

/// Callbacks through which the owner of a server handles requests and configures it.
struct server_hooks
{
    std::function<task<void>(received_request &, server_reply &)> handle; ///< Handles one request.
    std::function<server_limits()> limits; ///< Limits in effect, queried for each connection and request.
    std::function<bool()> closing; ///< True while the server shuts down; responses then carry "Connection: close".
    /// Makes the body of the error response to a request that is malformed or exceeds a limit.
    std::function<std::string(std::string_view reason)> errorBody;
    /// Called when a request ends without a complete response. May be empty.
    std::function<void(const received_request &, unanswered_cause)> unanswered;
};

/// HTTP/1.1 server on one event loop. Each connection has a coroutine that handles its requests in sequence.
class http_server
{
public:
    http_server(asio::io_context &loop, server_hooks hooks);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts to accept connections. Throws boost::system::system_error when the address can not be bound.
    void listen(const tcp::endpoint &address);
    /// Stops accepting connections; open ones stay open.
    void stopAccepting();
    /// Closes connections on which no byte of a request has arrived and no request is being handled.
    void closeIdle();

    /// Number of open connections.
    std::size_t connections() const;
    /// Number of requests being handled.
    std::size_t requests() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

}
