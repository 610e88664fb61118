#include "standin/platform.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr std::size_t defaultScanLimit = 1000;

nlohmann::json rowJson(const row &value)
{
    return {{"key", value.key}, {"value", value.value}, {"version", value.version}};
}

transaction parseTransaction(const nlohmann::json &body)
{
    transaction change;
    for (const auto &condition : body.at("conditions")) {
        change.conditions.push_back({.key = condition.at("key"), .version = condition.at("version")});
    }
    for (const auto &write : body.at("writes")) {
        const auto &value = write.at("value");
        change.writes.push_back({.key = write.at("key"), .value = value.is_null() ? std::nullopt : std::optional(value.get<std::string>())});
    }
    return change;
}

nlohmann::json endpointJson(const fleet_endpoint &endpoint)
{
    return {{"id", endpoint.id},
            {"group", endpoint.group},
            {"address", endpoint.address},
            {"failure_domain", endpoint.failureDomain},
            {"reclaimable", endpoint.reclaimable},
            {"leaving", endpoint.leaving}};
}

}

platform::platform(const platform_settings &settings, fleet &endpoints)
    : m_fleet(endpoints)
    , m_instances(settings.instanceLag)
    , m_provision(endpoints, settings.checkEpochs)
    , m_server(settings.host, settings.port, [this](httplib::Server &server) {
        addTableRoutes(server);
        addObjectRoutes(server);
        addEndpointRoutes(server);
        addUsageRoutes(server);
    })
{
}

// Applies the store's faults. An outage and a hang come before any effect, so nothing is done in both.
bool platform::storeWorks(httplib::Response &response)
{
    if (const auto slow = m_faults.use("store_slow"); slow && !sleepWhileOpen(fake_clock::now() + std::chrono::milliseconds(slow->get<int>()))) {
        return false;
    }
    if (m_faults.use("store_hang")) {
        while (m_faults.peek("store_hang") && connectionOpen()) {
            sleepWhileOpen(fake_clock::now() + std::chrono::milliseconds(20));
        }
        dropConnection();
        return false;
    }
    if (m_faults.use("store_outage")) {
        answerJson(response, 503, {{"error", "store outage"}});
        return false;
    }
    return true;
}

httplib::Server::Handler platform::guarded(httplib::Server::Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (storeWorks(response)) {
            handler(request, response);
        }
    };
}

void platform::addTableRoutes(httplib::Server &server)
{
    server.Get("/tables/row", guarded([this](const httplib::Request &request, httplib::Response &response) {
                   const auto found = *m_table->read(request.get_param_value("key"));
                   answerJson(response, found ? 200 : 404, found ? rowJson(*found) : nlohmann::json::object());
               }));
    server.Get("/tables/scan", guarded([this](const httplib::Request &request, httplib::Response &response) {
                   const auto limit = request.has_param("limit") ? std::strtoull(request.get_param_value("limit").c_str(), nullptr, 10) : defaultScanLimit;
                   const auto found = *m_table->scan(request.get_param_value("prefix"), limit, request.get_param_value("after"));
                   auto rows = nlohmann::json::array();
                   std::ranges::transform(found, std::back_inserter(rows), rowJson);
                   answerJson(response, 200, {{"rows", rows}});
               }));
    server.Post("/tables/commit", guarded(withJson([this](const auto &body, const auto &, auto &response) {
                    commit(body, response);
                })));
    server.Post("/faults", withJson([this](const auto &body, const auto &, auto &response) {
                    answerJson(response, setFault(body) ? 200 : 404, nlohmann::json::object());
                }));
}

void platform::commit(const nlohmann::json &body, httplib::Response &response)
{
    const auto outcome = m_table->commit(parseTransaction(body));
    if (m_faults.use("answer_lost")) {
        dropConnection();
        return;
    }
    answerJson(response, outcome == commit_outcome::Committed ? 200 : 409, nlohmann::json::object());
}

void platform::addObjectRoutes(httplib::Server &server)
{
    server.Get("/objects/(.+)", guarded([this](const httplib::Request &request, httplib::Response &response) {
                   const std::lock_guard lock(m_objectMutex);
                   const auto found = m_objects.find(request.matches[1]);
                   response.status = found == m_objects.end() ? 404 : 200;
                   response.set_content(found == m_objects.end() ? "" : found->second, "application/octet-stream");
               }));
    server.Put("/objects/(.+)", guarded([this](const httplib::Request &request, httplib::Response &response) {
                   const std::lock_guard lock(m_objectMutex);
                   m_objects[request.matches[1]] = request.body;
                   answerJson(response, 200, nlohmann::json::object());
               }));
}

void platform::addEndpointRoutes(httplib::Server &server)
{
    server.Get("/instances", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_instances.visible(m_faults.use("frozen_instances").has_value()));
    });
    server.Post("/instances", withJson([this](const auto &body, const auto &, auto &response) {
                    m_instances.change(body);
                    answerJson(response, 200, nlohmann::json::object());
                }));
    server.Get("/endpoints", [this](const httplib::Request &request, httplib::Response &response) {
        auto list = nlohmann::json::array();
        std::ranges::transform(m_fleet.list(), std::back_inserter(list), endpointJson);
        const std::string tag = "\"" + std::to_string(std::hash<std::string>()(list.dump())) + "\"";
        response.set_header("ETag", tag);
        if (request.get_header_value("If-None-Match") == tag) {
            response.status = 304;
        } else {
            answerJson(response, 200, list);
        }
    });
    server.Get("/endpoints/orders", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_provision.report());
    });
    server.Post("/endpoints/orders", withJson([this](const auto &body, const auto &, auto &response) {
                    const auto [status, answer] = m_provision.order(body, m_faults.use("no_endpoints"));
                    answerJson(response, status, answer);
                }));
    server.Get("/audit", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_fleet.audit());
    });
}

void platform::addUsageRoutes(httplib::Server &server)
{
    server.Post("/usage/reports", withJson([this](const auto &body, const auto &, auto &response) {
                    const auto answer = m_usage.take(body);
                    if (m_faults.use("usage_answer_lost")) {
                        dropConnection();
                        return;
                    }
                    answerJson(response, 200, answer);
                }));
    server.Get("/usage/reports", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_usage.report());
    });
}

bool platform::setFault(const nlohmann::json &body)
{
    const std::string name = body.at("name");
    if (name == "reclaim") {
        const auto &value = body.at("value");
        m_fleet.reclaim(value.at("failure_domain"), std::chrono::milliseconds(value.value("notice_ms", 0)));
        return true;
    }
    if (name == "endpoint") {
        return m_fleet.setFault(body.at("value").at("id"), body.at("value").at("fault"));
    }
    m_faults.set(body);
    return true;
}

}
