#include "standin/fake_server.h"

#include "standin/tracked_server.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr auto revivalCheckInterval = std::chrono::milliseconds(20);

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
    const int bound = m_port == 0 ? m_server->bind_to_any_port(m_host) : (m_server->bind_to_port(m_host, m_port) ? m_port : -1);
    if (bound <= 0) {
        return false;
    }
    m_port = bound;
    m_server->widenBacklog();
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

// Serves until it crashes, waits for its revival and serves again on the same port.
void fake_server::serve()
{
    do {
        m_server->listen_after_bind();
    } while (waitForRevival());
    m_finished = true;
}

// Returns true when the port is bound again, false when the server shall end.
bool fake_server::waitForRevival()
{
    std::unique_lock lock(m_mutex);
    while (m_state != state::Stopping) {
        if (fake_clock::now() >= m_downUntil && bind()) {
            m_state = state::Running;
            return true;
        }
        m_changed.wait_for(lock, revivalCheckInterval);
    }
    return false;
}

void fake_server::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_state = state::Stopping;
        m_changed.notify_all();
    }
    if (!m_thread.joinable()) {
        return;
    }
    // Repeated, because a server that has just been bound can't be closed before it listens.
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

void fake_server::revive()
{
    const std::lock_guard lock(m_mutex);
    m_downUntil = fake_clock::now();
    m_changed.notify_all();
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

void answerJson(httplib::Response &response, int status, const nlohmann::json &body)
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
                answerJson(response, 400, {{"error", "the body must be a JSON object"}});
                return;
            }
            handler(body, request, response);
        } catch (const nlohmann::json::exception &failure) {
            answerJson(response, 400, {{"error", failure.what()}});
        }
    };
}

}
