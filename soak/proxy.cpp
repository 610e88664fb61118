#include "soak/proxy.h"

#include <array>

namespace faultsoak
{

namespace
{

constexpr std::int64_t delayMs = 150; // Far above loopback, below every timeout of the system.
constexpr std::int64_t heldCheckMs = 50;

}

struct proxy::link
{
    explicit link(asio::io_context &loop)
        : client(loop)
        , server(loop)
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool harmed = false; ///< It was silent once: what was held is lost, so it never works again.
};

proxy::proxy(asio::io_context &loop, tcp::endpoint target)
    : m_loop(loop)
    , m_acceptor(loop, anyLoopback())
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

void proxy::setMode(link_mode mode)
{
    m_mode = mode;
    if (mode == link_mode::Refuse) {
        resetConnections();
    }
    if (mode == link_mode::Silent || mode == link_mode::OneWay) {
        for (const auto &pair : m_links) {
            pair->harmed = true;
        }
    }
}

void proxy::resetConnections()
{
    for (const auto &pair : m_links) {
        pair->reset();
    }
    m_links.clear();
}

task<void> proxy::accept()
{
    while (true) {
        auto pair = std::make_shared<link>(m_loop);
        boost::system::error_code error;
        co_await m_acceptor.async_accept(pair->client, errorTo(error));
        if (error) {
            co_return;
        }
        if (m_mode == link_mode::Refuse) {
            pair->reset();
            continue;
        }
        m_links.insert(pair);
        asio::co_spawn(m_loop, open(pair), asio::detached);
    }
}

task<void> proxy::open(std::shared_ptr<link> pair)
{
    pair->harmed = m_mode == link_mode::Silent || m_mode == link_mode::OneWay;
    boost::system::error_code error;
    co_await pair->server.async_connect(m_target, errorTo(error));
    if (error) {
        pair->reset();
        m_links.erase(pair);
        co_return;
    }
    pair->client.set_option(tcp::no_delay(true), error);
    pair->server.set_option(tcp::no_delay(true), error);
    asio::co_spawn(m_loop, pump(pair, false), asio::detached);
    asio::co_spawn(m_loop, pump(pair, true), asio::detached);
}

task<void> proxy::pump(std::shared_ptr<link> pair, bool back)
{
    auto &from = back ? pair->server : pair->client;
    auto &to = back ? pair->client : pair->server;
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (true) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), errorTo(error));
        if (error) {
            break;
        }
        if (m_mode == link_mode::Delay) {
            co_await sleepMs(delayMs);
        }
        // A silent connection swallows what it gets until one side closes it.
        if (pair->harmed && (back || m_mode != link_mode::OneWay)) {
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
        pair->reset();
    }
    m_links.erase(pair);
}

}
