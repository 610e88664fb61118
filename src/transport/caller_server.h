#pragma once

#include <chrono>
#include <cstddef>
#include <httplib.h>
#include <memory>
#include <string>

namespace lacewinglock
{

/// Limits on the time and size of a request. A connection that exceeds one is closed.
struct caller_limits
{
    std::chrono::milliseconds headerTimeout{10'000}; ///< From the first byte of a request to the end of its headers; also for the TLS handshake.
    std::chrono::milliseconds bodyTimeout{60'000}; ///< From the end of the headers to the end of the body.
    std::size_t headerBytes = std::size_t{64} << 10U; ///< Request line and headers together.
};

/// HTTP server for callers, with TLS when a certificate is given. cpp-httplib limits only the time between two bytes and the length of one
/// header line. This class also limits the total time and size of a request, so that a slow or endless one can not occupy a thread or memory.
class caller_server : public httplib::Server
{
public:
    explicit caller_server(caller_limits limits = {});
    caller_server(const std::string &certificateFile, const std::string &keyFile, caller_limits limits = {});
    ~caller_server() override;
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /// True without TLS, or when the certificate and key were loaded and match.
    bool is_valid() const override;

private:
    struct tls_context;

    bool process_and_close_socket(socket_t socket) override;
    void serveConnection(socket_t socket);
    bool waitForRequest(socket_t socket) const;

    caller_limits m_limits;
    std::unique_ptr<tls_context> m_tls; ///< Null without TLS.
};

}
