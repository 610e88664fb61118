#pragma once

// std::exchange is used by Boost 1.74's asio.hpp without an include of its own.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace faultsoak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;

template <typename Result = void>
using task = asio::awaitable<Result>;

inline auto errorTo(boost::system::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

inline task<void> sleepMs(std::int64_t time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(time));
    boost::system::error_code ignored;
    co_await timer.async_wait(errorTo(ignored));
}

/// Closes a socket after a time. Its handler may still be queued when this ends, so it asks first whether the socket is there.
class close_timer
{
public:
    close_timer(tcp::socket &socket, std::int64_t time)
        : m_timer(socket.get_executor(), std::chrono::milliseconds(time))
    {
        m_timer.async_wait([&socket, open = std::weak_ptr(m_open)](const boost::system::error_code &error) {
            if (!error && !open.expired()) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    }

    void cancel()
    {
        m_open.reset();
        m_timer.cancel();
    }

private:
    std::shared_ptr<bool> m_open = std::make_shared<bool>(true);
    asio::steady_timer m_timer;
};

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::string loopbackAddress(const tcp::acceptor &acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

inline tcp::endpoint anyLoopback()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

}
