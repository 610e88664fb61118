#include "protocol/addresses.h"

#include <arpa/inet.h>
#include <charconv>

namespace lacewinglock
{

namespace
{

bool isIp(const std::string &host, int family)
{
    in6_addr parsed{};
    return inet_pton(family, host.c_str(), &parsed) == 1;
}

}

absl::StatusOr<socket_address> parseSocketAddress(std::string_view text)
{
    const auto error = absl::InvalidArgumentError("\"" + std::string(text) + "\" is not IP:port");
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    socket_address result{.host = std::string(host)};
    const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    const bool portValid = code == std::errc() && end == port.data() + port.size() && result.port >= 1 && result.port <= 65535;
    if (!portValid || !isIp(result.host, bracketed ? AF_INET6 : AF_INET)) {
        return error;
    }
    return result;
}

}
