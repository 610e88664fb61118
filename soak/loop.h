#pragma once

// std::exchange is used by Boost 1.74's asio.hpp without an include of its own.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
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
