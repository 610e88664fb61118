#include "coordination/caller_connection.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <filesystem>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace lacewinglock
{

namespace
{

using ip_and_port = std::pair<std::string, int>;

ip_and_port describe(const sockaddr_storage &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return {text.data(), ntohs(v4.sin_port)};
    }
    if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(v6.sin6_port)};
    }
    return {};
}

bool isConnection(int socket, const ip_and_port &remote, const ip_and_port &local)
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0 || describe(address) != remote) {
        return false;
    }
    size = sizeof(address);
    return getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0 && describe(address) == local;
}

int findSocket(const ip_and_port &remote, const ip_and_port &local)
{
    // Later requests of the same connection run on the same thread and find their socket without a search.
    thread_local int last = -1;
    if (last >= 0 && isConnection(last, remote, local)) {
        return last;
    }
    std::error_code error;
    for (std::filesystem::directory_iterator it("/proc/self/fd", error), end; !error && it != end; it.increment(error)) {
        const std::string name = it->path().filename().string();
        int number = -1;
        std::from_chars(name.data(), name.data() + name.size(), number);
        if (isConnection(number, remote, local)) {
            last = number;
            return number;
        }
    }
    return -1;
}

}

caller_connection::caller_connection(const httplib::Request &request)
    : m_socket(findSocket({request.remote_addr, request.remote_port}, {request.local_addr, request.local_port}))
{
}

// POLLRDHUP reports the end of the caller's stream even while bytes of a pipelined request or of TLS are unread.
bool caller_connection::gone() const
{
    if (m_socket < 0) {
        return false;
    }
    pollfd watched{.fd = m_socket, .events = POLLRDHUP, .revents = 0};
    return ::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
