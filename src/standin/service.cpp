#include "standin/service.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr int defaultCrashMs = 3000;
constexpr int slotCount = 20;

nlohmann::json slots()
{
    auto list = nlohmann::json::array();
    for (int slot = 0; slot < slotCount; ++slot) {
        list.push_back({{"slot", slot}, {"bench", "bench-" + std::to_string(slot % 4)}});
    }
    return {{"slots", list}};
}

}

plain_service::plain_service(service_settings settings)
    : m_settings(std::move(settings))
    , m_server(m_settings.host, m_settings.port, [this](httplib::Server &server) {
        addRoutes(server);
    })
{
}

// Also accepts paths with one leading segment, because a route may forward its path prefix.
void plain_service::addRoutes(httplib::Server &server)
{
    server.set_post_routing_handler([](const httplib::Request &request, httplib::Response &response) {
        if (request.has_header("X-Attempt-Id")) {
            response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
        }
    });
    const std::map<std::string, nlohmann::json> responses
        = {{"/catalogue", {{"items", {"pulley", "braid", "cord"}}}}, {"/stock", {{"pulley", 40}, {"braid", 12}, {"cord", 7}}}, {"/slots", slots()}};
    for (const auto &[path, responseBody] : responses) {
        server.Get("(?:/[^/]+)?" + path, [this, responseBody = responseBody](const httplib::Request &, httplib::Response &response) {
            if (applySlowFault()) {
                sendJson(response, 200, responseBody);
            }
        });
    }
    for (const char *path : {"(?:/[^/]+)?/bookings", "(?:/[^/]+)?/orders"}) {
        server.Post(path, withJson([this](const auto &body, const auto &, auto &response) {
                        execute(body, response);
                    }));
    }
    server.Get("/executions", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, executions());
    });
    server.Get("/load", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, {{"age_ms", 0}, {"role", "mixed"}, {"leaving", m_leaving.load()}, {"running_streams", m_runningCalls.load()}});
    });
    server.Post("/faults", withJson([this](const auto &body, const auto &, auto &response) {
                    sendJson(response, 200, nlohmann::json::object());
                    setFault(body);
                }));
}

void plain_service::setFault(const nlohmann::json &body)
{
    const std::string name = body.at("name");
    if (name == "crash") {
        m_server.crash(std::chrono::milliseconds(body.value("duration_ms", defaultCrashMs)));
    } else if (name == "revive") {
        m_server.restart();
    } else if (name == "leaving") {
        m_leaving = body.value("value", true);
    } else {
        m_faults.set(body);
    }
}

// Waits for the duration of the fault `slow`, if set. Returns false when the caller disconnected meanwhile.
bool plain_service::applySlowFault()
{
    const auto delay = m_faults.consume("slow");
    return !delay || sleepWhileConnected(fake_clock::now() + std::chrono::milliseconds(delay->get<int>()));
}

// As in a real service, the execution counts even if the response is lost or the caller has disconnected.
void plain_service::execute(const nlohmann::json &body, httplib::Response &response)
{
    const std::string id = body.at("idempotency_id");
    ++m_runningCalls;
    applySlowFault();
    int confirmation = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[id];
        confirmation = ++m_lastConfirmation;
    }
    --m_runningCalls;
    if (m_faults.consume("answer_lost")) {
        dropConnection();
        return;
    }
    sendJson(response, 201, {{"confirmation", confirmation}, {"idempotency_id", id}, {"service", m_settings.id}});
}

nlohmann::json plain_service::executions() const
{
    const std::lock_guard lock(m_mutex);
    return {{"executions", m_executions}};
}

}
