#pragma once

#include <httplib.h>
#include <mutex>
#include <set>

namespace lacewinglock
{

/// A cpp-httplib server that tracks its open connections: all of them can be closed at once, and handlers can detect that their caller has
/// disconnected.
class tracked_server : public httplib::Server
{
public:
    tracked_server();

    /// Raises the listen backlog: cpp-httplib is built with a backlog of 5, which bursts of new connections overflow.
    void raiseBacklog() const;
    /// Closes the listening socket and shuts down all connections.
    void closeAll();

private:
    bool process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming): name of the library function.
    void serveConnection(socket_t socket);

    std::mutex m_mutex;
    std::set<socket_t> m_connections;
    socket_t m_listenSocket = -1;
};

}
