#include "soak/proxy.h"

#include <array>

namespace faultsoak
{

namespace
{

constexpr std::int64_t delayMs = 150; // Far above the loopback latency, below every timeout of the system.
constexpr std::int64_t stalledCheckMs = 50;

}

struct proxy::proxied_connection
{
    explicit proxied_connection(asio::io_context &loop)
        : client(loop)
        , server(loop)
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        // With a linger time of 0 s, close sends RST instead of FIN.
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool stalled = false; ///< The connection was open in a mode that drops data. As bytes are missing, it never forwards normally again.
};

proxy::proxy(asio::io_context &loop, tcp::endpoint target)
    : m_loop(loop)
    , m_acceptor(loop, anyLoopbackPort())
    , m_target(std::move(target))
{
    asio::co_spawn(m_loop, accept(), asio::detached);
}

std::string proxy::address() const
{
    return loopbackAddress(m_acceptor);
}

void proxy::setTarget(tcp::endpoint target)
{
    m_target = std::move(target);
}

void proxy::setMode(proxy_mode mode)
{
    m_mode = mode;
    if (mode == proxy_mode::Reset) {
        resetConnections();
    }
    if (mode == proxy_mode::Blackhole || mode == proxy_mode::DropResponses) {
        for (const auto &connection : m_connections) {
            connection->stalled = true;
        }
    }
}

void proxy::resetConnections()
{
    for (const auto &connection : m_connections) {
        connection->reset();
    }
    m_connections.clear();
}

void proxy::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    resetConnections();
}

task<void> proxy::accept()
{
    while (true) {
        auto connection = std::make_shared<proxied_connection>(m_loop);
        boost::system::error_code error;
        co_await m_acceptor.async_accept(connection->client, errorTo(error));
        if (error) {
            co_return;
        }
        if (m_mode == proxy_mode::Reset) {
            connection->reset();
            continue;
        }
        m_connections.insert(connection);
        asio::co_spawn(m_loop, connectToTarget(connection), asio::detached);
    }
}

task<void> proxy::connectToTarget(std::shared_ptr<proxied_connection> connection)
{
    connection->stalled = m_mode == proxy_mode::Blackhole || m_mode == proxy_mode::DropResponses;
    boost::system::error_code error;
    co_await connection->server.async_connect(m_target, errorTo(error));
    if (error) {
        connection->reset();
        m_connections.erase(connection);
        co_return;
    }
    connection->client.set_option(tcp::no_delay(true), error);
    connection->server.set_option(tcp::no_delay(true), error);
    asio::co_spawn(m_loop, forward(connection, false), asio::detached);
    asio::co_spawn(m_loop, forward(connection, true), asio::detached);
}

task<void> proxy::forward(std::shared_ptr<proxied_connection> connection, bool toClient)
{
    auto &from = toClient ? connection->server : connection->client;
    auto &to = toClient ? connection->client : connection->server;
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (true) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), errorTo(error));
        if (error) {
            break;
        }
        if (m_mode == proxy_mode::Delay) {
            co_await sleepMs(delayMs);
        }
        // A stalled connection drops its data until one side closes it.
        if (connection->stalled && (toClient || m_mode != proxy_mode::DropResponses)) {
            continue;
        }
        co_await asio::async_write(to, asio::buffer(buffer, size), errorTo(error));
        if (error) {
            break;
        }
    }
    if (error == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, error);
    } else {
        connection->reset();
    }
    m_connections.erase(connection);
}

}
