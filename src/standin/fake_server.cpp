#include "standin/fake_server.h"

#include "standin/tracked_server.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr auto restartPollInterval = std::chrono::milliseconds(20);

}

fake_server::fake_server(std::string host, int port, const route_setup &setup)
    : m_host(std::move(host))
    , m_port(port)
    , m_server(std::make_unique<tracked_server>())
{
    setup(*m_server);
}

fake_server::~fake_server()
{
    stop();
}

bool fake_server::bind()
{
    const int boundPort = m_port == 0 ? m_server->bind_to_any_port(m_host) : (m_server->bind_to_port(m_host, m_port) ? m_port : -1);
    if (boundPort <= 0) {
        return false;
    }
    m_port = boundPort;
    m_server->raiseBacklog();
    return true;
}

bool fake_server::start()
{
    if (!bind()) {
        return false;
    }
    m_state = state::Running;
    m_thread = std::thread([this] {
        serve();
    });
    while (!m_server->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

// Serves until a crash, waits for the restart and serves again on the same port, until stop().
void fake_server::serve()
{
    do {
        m_server->listen_after_bind();
    } while (waitForRestart());
    m_finished = true;
}

// Returns true once the port is bound again, false when the server is stopping.
bool fake_server::waitForRestart()
{
    std::unique_lock lock(m_mutex);
    while (m_state != state::Stopping) {
        if (fake_clock::now() >= m_downUntil && bind()) {
            m_state = state::Running;
            return true;
        }
        m_stateChanged.wait_for(lock, restartPollInterval);
    }
    return false;
}

void fake_server::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_state = state::Stopping;
        m_stateChanged.notify_all();
    }
    if (!m_thread.joinable()) {
        return;
    }
    // Repeated, because a server that has just bound its port cannot be closed before it listens.
    while (!m_finished) {
        m_server->closeAll();
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    m_thread.join();
}

void fake_server::crash(std::chrono::milliseconds duration)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != state::Running) {
            return;
        }
        m_state = state::Crashed;
        m_downUntil = duration.count() > 0 ? fake_clock::now() + duration : fake_clock::time_point::max();
    }
    m_server->closeAll();
}

void fake_server::restart()
{
    const std::lock_guard lock(m_mutex);
    m_downUntil = fake_clock::now();
    m_stateChanged.notify_all();
}

std::string fake_server::address() const
{
    return m_host + ":" + std::to_string(m_port);
}

bool fake_server::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_state == state::Running && m_server->is_running();
}

void sendJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

httplib::Server::Handler withJson(json_handler handler)
{
    return [handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        const auto body = request.body.empty() ? nlohmann::json::object() : nlohmann::json::parse(request.body, nullptr, false);
        try {
            if (!body.is_object()) {
                sendJson(response, 400, {{"error", "the body must be a JSON object"}});
                return;
            }
            handler(body, request, response);
        } catch (const nlohmann::json::exception &error) {
            sendJson(response, 400, {{"error", error.what()}});
        }
    };
}

}
