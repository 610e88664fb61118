#include "transport/caller_server.h"

#include "transport/caller_stream.h"

#include <fcntl.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewinglock
{

namespace
{

using ssl_pointer = std::unique_ptr<SSL, decltype(&SSL_free)>;

constexpr int stopPollMs = 100; // Poll interval at which idle connections check whether the server has stopped.

}

struct caller_server::tls_context
{
    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context{SSL_CTX_new(TLS_server_method()), SSL_CTX_free};
    bool hasValidCertificate = false;
};

caller_server::caller_server(caller_limits limits)
    : m_limits(limits)
{
}

caller_server::caller_server(const std::string &certificateFile, const std::string &keyFile, caller_limits limits)
    : m_limits(limits)
    , m_tls(std::make_unique<tls_context>())
{
    SSL_CTX *context = m_tls->context.get();
    if (context == nullptr) {
        return;
    }
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    // A retried write may pass a different buffer, and a write may be partial, as on a plain socket.
    SSL_CTX_set_mode(context, SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER | SSL_MODE_ENABLE_PARTIAL_WRITE);
    m_tls->hasValidCertificate = SSL_CTX_use_certificate_chain_file(context, certificateFile.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(context, keyFile.c_str(), SSL_FILETYPE_PEM) == 1 && SSL_CTX_check_private_key(context) == 1;
}

caller_server::~caller_server() = default;

bool caller_server::is_valid() const
{
    return !m_tls || m_tls->hasValidCertificate;
}

bool caller_server::process_and_close_socket(socket_t socket)
{
    serveConnection(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

// Serves the requests of one connection in sequence.
void caller_server::serveConnection(socket_t socket)
{
    ssl_pointer tls(nullptr, SSL_free);
    if (m_tls) {
        // The socket is non-blocking because TLS may need several reads or writes for one call. poll() waits for it within the time limits.
        ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
        tls.reset(SSL_new(m_tls->context.get()));
        if (!tls || SSL_set_fd(tls.get(), socket) != 1) {
            return;
        }
    }
    const auto writeTimeout = std::chrono::seconds(write_timeout_sec_) + std::chrono::microseconds(write_timeout_usec_);
    caller_stream stream(socket, tls.get(), m_limits, std::chrono::duration_cast<std::chrono::milliseconds>(writeTimeout));
    if (!stream.handshake()) {
        return;
    }
    for (auto remaining = keep_alive_max_count_; remaining > 0 && svr_sock_ != INVALID_SOCKET; --remaining) {
        if (!stream.hasBufferedInput() && !waitForRequest(socket)) {
            break;
        }
        stream.beginRequest();
        bool closed = false;
        const bool served = process_request(stream, remaining == 1, closed, [&tls](httplib::Request &request) {
            request.ssl = tls.get();
        });
        if (!served || closed) {
            break;
        }
    }
    if (tls) {
        SSL_shutdown(tls.get());
    }
}

// Waits for the first byte of the next request. Returns false on the keep-alive timeout, an error or a server stop.
bool caller_server::waitForRequest(socket_t socket) const
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(keep_alive_timeout_sec_);
    while (svr_sock_ != INVALID_SOCKET && std::chrono::steady_clock::now() < deadline) {
        pollfd watched{.fd = socket, .events = POLLIN, .revents = 0};
        if (::poll(&watched, 1, stopPollMs) > 0) {
            return (watched.revents & POLLIN) != 0;
        }
    }
    return false;
}

}
