#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

#include <functional>
#include <memory>
#include <string>

namespace lacewinglock
{

/// What a client may send and how long it may take.
struct server_limits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    duration headerTime = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    duration bodyTime = std::chrono::seconds(10); ///< From the end of the header to the end of the body.
    duration idleTime = std::chrono::seconds(15); ///< Between two requests.
    std::size_t maxConnections = 1500;
};

/// The answer side of one request: exactly one whole answer, or one stream.
class server_reply
{
public:
    virtual ~server_reply() = default;

    /// Sends an answer with a length. Hop-by-hop fields are set by the server.
    virtual task<bool> send(http_response answer) = 0;
    /// Sends the head of an answer whose body follows in pieces.
    virtual task<bool> beginStream(http::response_header<> head) = 0;
    virtual task<bool> sendPiece(std::string_view piece) = 0;
    /// Marks the stream as complete. A stream without it ends with a broken connection, so that it can't look complete.
    virtual task<bool> endStream() = 0;
    /// The client closed its connection.
    virtual bool gone() const = 0;
    /// Called once when the client closes its connection. An empty function removes it.
    virtual void onGone(std::function<void()> action) = 0;
};

struct received_request
{
    http_request message;
    instant readAt; ///< Last byte of the request.
    tcp::endpoint remote;
};

/// What the owner of a server decides.
struct server_hooks
{
    std::function<task<void>(received_request &, server_reply &)> handle;
    std::function<server_limits()> limits;
    std::function<bool()> closing; ///< Answers carry "Connection: close".
    /// Body of an answer to a request that can't be parsed.
    std::function<std::string(std::string_view reason)> errorBody;
};

/// HTTP/1.1 server on one event loop: one coroutine per connection, requests of a connection in turn.
class http_server
{
public:
    http_server(asio::io_context &loop, server_hooks hooks);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Throws boost::system::system_error when the address can't be used.
    void listen(const tcp::endpoint &address);
    /// Accepts no further connections.
    void stopAccepting();
    /// Closes connections on which no request is being read or answered.
    void closeIdle();

    std::size_t connections() const;
    /// Requests being answered.
    std::size_t requests() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

}
