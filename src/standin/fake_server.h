#pragma once

#include "standin/fault_board.h"

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

/// An HTTP server of a fake that can crash (closing all connections and refusing new ones) and come back on the same port.
class fake_server
{
public:
    using route_setup = std::function<void(httplib::Server &server)>;

    /// Port 0 lets the system choose one.
    fake_server(std::string host, int port, const route_setup &setup);
    ~fake_server();
    fake_server(const fake_server &) = delete;
    fake_server &operator=(const fake_server &) = delete;

    /// Returns false when the port can't be bound.
    bool start();
    void stop();
    /// May be called from a handler. Without a duration it stays down until revive().
    void crash(std::chrono::milliseconds duration);
    void revive();

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
    bool waitForRevival();

    std::string m_host;
    int m_port = 0;
    std::unique_ptr<tracked_server> m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    state m_state = state::Stopping;
    fake_clock::time_point m_downUntil;
    std::atomic<bool> m_finished = false;
    std::thread m_thread;
};

/// Whether the connection of the request that this thread handles is still open.
bool connectionOpen();
/// Closes the connection of the request that this thread handles, so that its answer is lost.
void dropConnection();
/// Sleeps until the time or until the connection closes; returns whether it is still open.
bool sleepWhileOpen(fake_clock::time_point until);

/// Answers with a JSON body.
void answerJson(httplib::Response &response, int status, const nlohmann::json &body);

using json_handler = std::function<void(const nlohmann::json &body, const httplib::Request &request, httplib::Response &response)>;
/// Wraps a handler of JSON bodies: a malformed body or a missing field is answered with 400.
httplib::Server::Handler withJson(json_handler handler);

}
