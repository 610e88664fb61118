#pragma once

#include "soak/asio_helpers.h"

#include <memory>
#include <set>

namespace faultsoak
{

enum class proxy_mode {
    Forward, ///< Data is forwarded unchanged.
    Delay, ///< Each received chunk is delayed.
    Blackhole, ///< Existing and new connections stay open and all their data is dropped.
    DropResponses, ///< Data from the target to the client is dropped, on existing and new connections.
    Reset, ///< Existing and new connections are reset.
};

/// TCP proxy on loopback that injects network faults between two processes.
class proxy
{
public:
    proxy(asio::io_context &loop, tcp::endpoint target);

    /// Address at which the proxy listens, as HOST:PORT.
    std::string address() const;
    void setMode(proxy_mode mode);
    /// Sets the target of new connections.
    void setTarget(tcp::endpoint target);
    /// Resets the open connections; new ones are handled as the mode says.
    void resetConnections();
    /// Stops listening and resets the open connections, as when the host of the target ends.
    void stop();

private:
    struct proxied_connection;
    task<void> accept();
    task<void> connectToTarget(std::shared_ptr<proxied_connection> connection);
    task<void> forward(std::shared_ptr<proxied_connection> connection, bool toClient);

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    proxy_mode m_mode = proxy_mode::Forward;
    std::set<std::shared_ptr<proxied_connection>> m_connections;
};

}
