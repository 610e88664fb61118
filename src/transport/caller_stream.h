#pragma once

#include "transport/caller_server.h"

#include <array>
#include <httplib.h>
#include <openssl/ssl.h>
#include <string>

namespace lacewinglock
{

/// Stream of cpp-httplib for one connection of a caller. It enforces the limits of caller_server.
class caller_stream : public httplib::Stream
{
public:
    /// `tls` is null on connections without TLS.
    caller_stream(socket_t socket, SSL *tls, const caller_limits &limits, std::chrono::milliseconds writeTimeout);

    /// Resets the header timeout and byte count for the next request.
    void beginRequest();
    /// True when bytes that were received already are waiting to be read.
    bool hasBufferedInput() const;
    /// Performs the TLS handshake within the header timeout. Returns true without TLS.
    bool handshake();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *target, std::size_t size) override;
    ssize_t write(const char *source, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

private:
    using clock = std::chrono::steady_clock;

    bool waitFor(short events, clock::time_point deadline) const;
    ssize_t receive();
    ssize_t tlsResult(int result, short &events) const;
    void trackHeaders(char byte);

    socket_t m_socket;
    SSL *m_tls;
    caller_limits m_limits;
    std::chrono::milliseconds m_writeTimeout;
    clock::time_point m_readDeadline;
    bool m_inHeaders = true;
    bool m_headerLineEmpty = true; ///< No byte of the current header line was read yet.
    std::size_t m_headerBytes = 0;
    std::array<char, 16384> m_buffer{};
    std::size_t m_begin = 0; ///< Unread bytes of the buffer are those from m_begin to m_end.
    std::size_t m_end = 0;
};

}
