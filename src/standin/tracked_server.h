#pragma once

#include <httplib.h>
#include <mutex>
#include <set>

namespace lacewinglock
{

/// A cpp-httplib server that knows its connections, so that all of them can be closed at once, and that notices a caller who left.
class tracked_server : public httplib::Server
{
public:
    tracked_server();

    /// cpp-httplib is built with a backlog of 5, too short for bursts of new connections.
    void widenBacklog() const;
    /// Closes the listening socket and all connections.
    void closeAll();

private:
    bool process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming): name of the library.
    void serveConnection(socket_t socket);

    std::mutex m_mutex;
    std::set<socket_t> m_connections;
    socket_t m_listener = -1;
};

}
