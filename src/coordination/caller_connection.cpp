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

ip_and_port toIpAndPort(const sockaddr_storage &address)
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

bool hasAddresses(int socket, const ip_and_port &remote, const ip_and_port &local)
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0 || toIpAndPort(address) != remote) {
        return false;
    }
    size = sizeof(address);
    return getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0 && toIpAndPort(address) == local;
}

int findSocket(const ip_and_port &remote, const ip_and_port &local)
{
    // Later requests on the same connection run on the same thread and reuse the socket without a search.
    thread_local int lastSocket = -1;
    if (lastSocket >= 0 && hasAddresses(lastSocket, remote, local)) {
        return lastSocket;
    }
    std::error_code error;
    for (std::filesystem::directory_iterator entry("/proc/self/fd", error), end; !error && entry != end; entry.increment(error)) {
        const std::string name = entry->path().filename().string();
        int candidate = -1;
        std::from_chars(name.data(), name.data() + name.size(), candidate);
        if (hasAddresses(candidate, remote, local)) {
            lastSocket = candidate;
            return candidate;
        }
    }
    return -1;
}

}

caller_connection::caller_connection(const httplib::Request &request)
    : m_socket(findSocket({request.remote_addr, request.remote_port}, {request.local_addr, request.local_port}))
{
}

// POLLRDHUP reports that the caller closed its side even while bytes of a pipelined request or of TLS are unread.
bool caller_connection::isClosedByCaller() const
{
    if (m_socket < 0) {
        return false;
    }
    pollfd polled{.fd = m_socket, .events = POLLRDHUP, .revents = 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
