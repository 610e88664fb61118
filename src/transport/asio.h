#pragma once

// asio.hpp of Boost 1.74 uses std::exchange without including <utility>.
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

/// Return type of a coroutine that runs on an event loop.
template <typename Result = void>
using task = asio::awaitable<Result>;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Completion token for co_await that stores the error in `error` instead of throwing it.
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
