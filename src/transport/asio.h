#pragma once

// std::exchange is used by Boost 1.74's asio.hpp without an include of its own.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lacewinglock
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

/// A coroutine of the event loop.
template <typename Result = void>
using task = asio::awaitable<Result>;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Completion token that stores the error instead of throwing it.
inline auto errorTo(boost::system::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

inline std::string_view toView(beast::string_view text)
{
    return {text.data(), text.size()};
}

inline beast::string_view fromView(std::string_view text)
{
    return {text.data(), text.size()};
}

}
