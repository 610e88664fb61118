#pragma once

#include "standin/fault_registry.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>

namespace lacewinglock
{

class tracked_server;

/// HTTP server of a fake. A simulated crash closes all connections and refuses new ones until the server restarts on the same port.
class fake_server
{
public:
    using route_setup = std::function<void(httplib::Server &server)>;

    /// With port 0 the operating system assigns a free port in start().
    fake_server(std::string host, int port, const route_setup &setup);
    ~fake_server();
    fake_server(const fake_server &) = delete;
    fake_server &operator=(const fake_server &) = delete;

    /// Returns false when the port cannot be bound.
    bool start();
    void stop();
    /// Simulates a crash; may be called from a handler. With a duration of 0 the server stays down until restart().
    void crash(std::chrono::milliseconds duration);
    /// Ends a crash early.
    void restart();

    int port() const
    {
        return m_port;
    }
    std::string address() const;
    bool running() const;

private:
    enum class state {
        Running,
        Crashed,
        Stopping
    };

    bool bind();
    void serve();
    bool waitForRestart();

    std::string m_host;
    int m_port = 0;
    std::unique_ptr<tracked_server> m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    state m_state = state::Stopping;
    fake_clock::time_point m_downUntil;
    std::atomic<bool> m_finished = false;
    std::thread m_thread;
};

/// Whether the connection of the request that this thread handles is still open; true in a thread that handles no request.
bool isConnectionOpen();
/// Closes the connection of the request that this thread handles, so that its response is lost.
void dropConnection();
/// Sleeps until the deadline or until the connection closes. Returns whether the connection is still open.
bool sleepWhileConnected(fake_clock::time_point deadline);

/// Sets status and JSON body of the response.
void sendJson(httplib::Response &response, int status, const nlohmann::json &body);

using json_handler = std::function<void(const nlohmann::json &body, const httplib::Request &request, httplib::Response &response)>;
/// Wraps a handler of JSON bodies: a malformed body or a missing field results in 400.
httplib::Server::Handler withJson(json_handler handler);

}
