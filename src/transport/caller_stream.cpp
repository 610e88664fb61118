#include "transport/caller_stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <openssl/err.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace lacewinglock
{

namespace
{

void formatAddress(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

}

caller_stream::caller_stream(socket_t socket, SSL *tls, const caller_limits &limits, std::chrono::milliseconds writeTimeout)
    : m_socket(socket)
    , m_tls(tls)
    , m_limits(limits)
    , m_writeTimeout(writeTimeout)
{
}

void caller_stream::beginRequest()
{
    m_inHeaders = true;
    m_headerLineEmpty = true;
    m_headerBytes = 0;
    m_readDeadline = clock::now() + m_limits.headerTimeout;
}

bool caller_stream::hasBufferedInput() const
{
    return m_begin < m_end || (m_tls != nullptr && SSL_pending(m_tls) > 0);
}

bool caller_stream::handshake()
{
    const auto deadline = clock::now() + m_limits.headerTimeout;
    while (m_tls != nullptr) {
        ERR_clear_error();
        short events = 0;
        const auto done = tlsResult(SSL_accept(m_tls), events);
        if (done > 0) {
            return true;
        }
        if (events == 0 || !waitFor(events, deadline)) {
            return false;
        }
    }
    return true;
}

bool caller_stream::is_readable() const
{
    return hasBufferedInput() || waitFor(POLLIN, m_readDeadline);
}

bool caller_stream::is_writable() const
{
    return waitFor(POLLOUT, clock::now() + m_writeTimeout);
}

// Headers are passed on byte by byte, as cpp-httplib reads them, so that their end is detected before the first read of the body.
ssize_t caller_stream::read(char *target, std::size_t size)
{
    if (m_begin == m_end) {
        if (const ssize_t got = receive(); got <= 0) {
            return got;
        }
    }
    const std::size_t taken = std::min(m_inHeaders ? std::size_t{1} : size, m_end - m_begin);
    std::copy_n(m_buffer.data() + m_begin, taken, target);
    m_begin += taken;
    if (m_inHeaders && taken > 0) {
        trackHeaders(*target);
        if (m_headerBytes > m_limits.headerBytes) {
            return -1;
        }
    }
    return static_cast<ssize_t>(taken);
}

ssize_t caller_stream::write(const char *source, std::size_t size)
{
    const auto deadline = clock::now() + m_writeTimeout;
    while (true) {
        short events = 0;
        ssize_t sent = 0;
        if (m_tls != nullptr) {
            ERR_clear_error();
            sent = tlsResult(SSL_write(m_tls, source, static_cast<int>(std::min<std::size_t>(size, 1U << 20U))), events);
        } else {
            sent = ::send(m_socket, source, size, MSG_NOSIGNAL | MSG_DONTWAIT);
            events = sent < 0 && (errno == EAGAIN || errno == EINTR) ? POLLOUT : 0;
        }
        if (sent > 0 || events == 0) {
            return sent;
        }
        if (!waitFor(events, deadline)) {
            return -1;
        }
    }
}

void caller_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (::getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        formatAddress(address, ip, port);
    }
}

void caller_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        formatAddress(address, ip, port);
    }
}

socket_t caller_stream::socket() const
{
    return m_socket;
}

bool caller_stream::waitFor(short events, clock::time_point deadline) const
{
    while (true) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now()).count();
        if (remaining <= 0) {
            return false;
        }
        pollfd watched{.fd = m_socket, .events = events, .revents = 0};
        const int ready = ::poll(&watched, 1, static_cast<int>(remaining));
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return false;
        }
    }
}

// Fills the buffer. Returns 0 at the end of the stream and a negative value on an error or when the deadline passes.
ssize_t caller_stream::receive()
{
    while (true) {
        if (clock::now() >= m_readDeadline) {
            return -1;
        }
        short events = 0;
        ssize_t got = 0;
        if (m_tls != nullptr) {
            ERR_clear_error();
            got = tlsResult(SSL_read(m_tls, m_buffer.data(), static_cast<int>(m_buffer.size())), events);
        } else {
            got = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
            events = got < 0 && (errno == EAGAIN || errno == EINTR) ? POLLIN : 0;
        }
        if (got > 0) {
            m_begin = 0;
            m_end = static_cast<std::size_t>(got);
        }
        if (got > 0 || events == 0) {
            return got;
        }
        if (!waitFor(events, m_readDeadline)) {
            return -1;
        }
    }
}

// Translates the result of an OpenSSL call: the number of bytes, 0 at the end of the stream, or -1. With -1, `events` is set when the call has to
// be retried after these poll events.
ssize_t caller_stream::tlsResult(int result, short &events) const
{
    if (result > 0) {
        return result;
    }
    switch (SSL_get_error(m_tls, result)) {
    case SSL_ERROR_WANT_READ:
        events = POLLIN;
        break;
    case SSL_ERROR_WANT_WRITE:
        events = POLLOUT;
        break;
    case SSL_ERROR_ZERO_RETURN:
        return 0;
    default:
        break;
    }
    return -1;
}

// Counts header bytes. An empty line ends the headers and starts the body timeout.
void caller_stream::trackHeaders(char byte)
{
    ++m_headerBytes;
    if (byte == '\n') {
        if (std::exchange(m_headerLineEmpty, true)) {
            m_inHeaders = false;
            m_readDeadline = clock::now() + m_limits.bodyTimeout;
        }
    } else if (byte != '\r') {
        m_headerLineEmpty = false;
    }
}

}
