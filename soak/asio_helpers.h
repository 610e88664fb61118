#pragma once

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
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

/// Completion token of a coroutine that stores the error instead of throwing it.
inline auto errorTo(boost::system::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

inline task<void> sleepMs(std::int64_t durationMs)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(durationMs));
    boost::system::error_code ignored;
    co_await timer.async_wait(errorTo(ignored));
}

/// Closes a socket after a timeout in milliseconds unless cancelled or destroyed earlier. Its handler may still be queued at that time, when the
/// socket may be gone, so it checks the timer's token first.
class close_timer
{
public:
    close_timer(tcp::socket &socket, std::int64_t durationMs)
        : m_timer(socket.get_executor(), std::chrono::milliseconds(durationMs))
    {
        m_timer.async_wait([&socket, armed = std::weak_ptr(m_armed)](const boost::system::error_code &error) {
            if (!error && !armed.expired()) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    }

    void cancel()
    {
        m_armed.reset();
        m_timer.cancel();
    }

private:
    std::shared_ptr<bool> m_armed = std::make_shared<bool>(true);
    asio::steady_timer m_timer;
};

/// Milliseconds of the steady clock.
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::string loopbackAddress(const tcp::acceptor &acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Loopback address for binding to a port that the kernel selects.
inline tcp::endpoint anyLoopbackPort()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

}
