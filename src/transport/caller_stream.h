#pragma once

#include "transport/caller_server.h"

#include <array>
#include <httplib.h>
#include <openssl/ssl.h>
#include <string>

namespace lacewinglock
{

/// One connection of a caller as cpp-httplib reads and writes it, under the limits of caller_server.
class caller_stream : public httplib::Stream
{
public:
    /// `tls` is null on plain connections.
    caller_stream(socket_t socket, SSL *tls, const caller_limits &limits, std::chrono::milliseconds writeTime);

    /// Starts the clock and the count of the next request.
    void beginRequest();
    /// Bytes of the next request have arrived already.
    bool hasInput() const;
    /// Does the TLS handshake; true on plain connections.
    bool shakeHands();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *target, std::size_t size) override;
    ssize_t write(const char *source, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

private:
    using clock = std::chrono::steady_clock;

    bool waitFor(short events, clock::time_point until) const;
    ssize_t receive();
    ssize_t transferred(int result, short &events) const;
    void watchHeaders(char byte);

    socket_t m_socket;
    SSL *m_tls;
    caller_limits m_limits;
    std::chrono::milliseconds m_writeTime;
    clock::time_point m_readUntil;
    bool m_inHeaders = true;
    bool m_lineEmpty = true; ///< No byte of the current header line was seen.
    std::size_t m_headerBytes = 0;
    std::array<char, 16384> m_buffer{};
    std::size_t m_begin = 0; ///< Unread part of the buffer.
    std::size_t m_end = 0;
};

}
