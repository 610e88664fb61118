#include "standin/tracked_server.h"

#include "standin/fake_server.h"
#include "standin/growing_thread_pool.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace lacewinglock
{

namespace
{

constexpr int listenBacklog = 1024;
constexpr int keepAliveMs = 60000;
constexpr int readTimeoutMs = 10000;
constexpr int writeTimeoutMs = 10000;
constexpr auto connectionPollInterval = std::chrono::milliseconds(20);

thread_local socket_t currentSocket = -1; // Connection of the request that this thread handles.

bool waitForEvents(socket_t socket, short events, int timeoutMs)
{
    pollfd entry = {.fd = socket, .events = events, .revents = 0};
    return poll(&entry, 1, timeoutMs) > 0 && (entry.revents & (events | POLLHUP)) != 0;
}

bool isPeerConnected(socket_t socket)
{
    pollfd entry = {.fd = socket, .events = POLLRDHUP, .revents = 0};
    return poll(&entry, 1, 0) == 0;
}

// Buffers reads, because cpp-httplib reads header lines byte by byte.
class buffered_stream final : public httplib::Stream
{
public:
    explicit buffered_stream(socket_t socket)
        : m_socket(socket)
    {
    }

    using Stream::write;

    bool is_readable() const override // NOLINT(readability-identifier-naming): names of the library, here and below.
    {
        return m_begin < m_end || waitForEvents(m_socket, POLLIN, readTimeoutMs);
    }
    bool is_writable() const override // NOLINT(readability-identifier-naming)
    {
        return isPeerConnected(m_socket) && waitForEvents(m_socket, POLLOUT, writeTimeoutMs);
    }
    ssize_t read(char *target, size_t size) override
    {
        if (m_begin == m_end) {
            if (!waitForEvents(m_socket, POLLIN, readTimeoutMs)) {
                return -1;
            }
            const auto received = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
            if (received <= 0) {
                return received;
            }
            m_begin = 0;
            m_end = static_cast<size_t>(received);
        }
        const auto copied = std::min(size, m_end - m_begin);
        std::memcpy(target, m_buffer.data() + m_begin, copied);
        m_begin += copied;
        return static_cast<ssize_t>(copied);
    }
    ssize_t write(const char *source, size_t size) override
    {
        return waitForEvents(m_socket, POLLOUT, writeTimeoutMs) ? send(m_socket, source, size, MSG_NOSIGNAL) : -1;
    }
    void get_remote_ip_and_port(std::string &, int &) const override // NOLINT(readability-identifier-naming)
    {
    }
    void get_local_ip_and_port(std::string &, int &) const override // NOLINT(readability-identifier-naming)
    {
    }
    socket_t socket() const override
    {
        return m_socket;
    }
    bool hasBuffered() const
    {
        return m_begin < m_end;
    }

private:
    socket_t m_socket;
    std::array<char, 4096> m_buffer{};
    size_t m_begin = 0;
    size_t m_end = 0;
};

}

tracked_server::tracked_server()
{
    new_task_queue = [] {
        return new growing_thread_pool;
    };
    set_tcp_nodelay(true);
    // Replaces the options of cpp-httplib, which set SO_REUSEPORT: two fakes could then share a port by mistake.
    set_socket_options([this](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        m_listenSocket = socket;
    });
}

void tracked_server::raiseBacklog() const
{
    ::listen(m_listenSocket, listenBacklog);
}

void tracked_server::closeAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto socket : m_connections) {
        shutdown(socket, SHUT_RDWR);
    }
    if (is_running() && svr_sock_ != INVALID_SOCKET) {
        stop();
    }
}

bool tracked_server::process_and_close_socket(socket_t socket)
{
    {
        const std::lock_guard lock(m_mutex);
        if (svr_sock_ != INVALID_SOCKET) {
            m_connections.insert(socket);
        }
    }
    currentSocket = socket;
    serveConnection(socket);
    currentSocket = -1;
    const std::lock_guard lock(m_mutex);
    m_connections.erase(socket);
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return true;
}

void tracked_server::serveConnection(socket_t socket)
{
    buffered_stream stream(socket);
    bool closed = false;
    while (!closed && svr_sock_ != INVALID_SOCKET && (stream.hasBuffered() || waitForEvents(socket, POLLIN, keepAliveMs))) {
        if (!process_request(stream, false, closed, nullptr)) {
            return;
        }
    }
}

bool isConnectionOpen()
{
    return currentSocket < 0 || isPeerConnected(currentSocket);
}

void dropConnection()
{
    if (currentSocket >= 0) {
        shutdown(currentSocket, SHUT_RDWR);
    }
}

bool sleepWhileConnected(fake_clock::time_point deadline)
{
    while (isConnectionOpen()) {
        const auto remaining = deadline - fake_clock::now();
        if (remaining <= fake_clock::duration::zero()) {
            return true;
        }
        std::this_thread::sleep_for(std::min<fake_clock::duration>(remaining, connectionPollInterval));
    }
    return false;
}

}
