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
    transaction parsed;
    for (const auto &condition : body.at("conditions")) {
        parsed.conditions.push_back({.key = condition.at("key"), .version = condition.at("version")});
    }
    for (const auto &write : body.at("writes")) {
        const auto &value = write.at("value");
        parsed.writes.push_back({.key = write.at("key"), .value = value.is_null() ? std::nullopt : std::optional(value.get<std::string>())});
    }
    return parsed;
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
    , m_provisioning(endpoints, settings.checkEpochs)
    , m_server(settings.host, settings.port, [this](httplib::Server &server) {
        addTableRoutes(server);
        addObjectRoutes(server);
        addEndpointRoutes(server);
        addUsageRoutes(server);
    })
{
}

// Applies the faults of the store. Returns false when one of them ends the request, which then has had no effect.
bool platform::applyStoreFaults(httplib::Response &response)
{
    if (const auto delay = m_faults.consume("store_slow"); delay && !sleepWhileConnected(fake_clock::now() + std::chrono::milliseconds(delay->get<int>()))) {
        return false;
    }
    if (m_faults.consume("store_hang")) {
        while (m_faults.peek("store_hang") && isConnectionOpen()) {
            sleepWhileConnected(fake_clock::now() + std::chrono::milliseconds(20));
        }
        dropConnection();
        return false;
    }
    if (m_faults.consume("store_outage")) {
        sendJson(response, 503, {{"error", "store outage"}});
        return false;
    }
    return true;
}

httplib::Server::Handler platform::withStoreFaults(httplib::Server::Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (applyStoreFaults(response)) {
            handler(request, response);
        }
    };
}

void platform::addTableRoutes(httplib::Server &server)
{
    server.Get("/tables/row", withStoreFaults([this](const httplib::Request &request, httplib::Response &response) {
                   const auto found = *m_table->read(request.get_param_value("key"));
                   sendJson(response, found ? 200 : 404, found ? rowJson(*found) : nlohmann::json::object());
               }));
    server.Get("/tables/scan", withStoreFaults([this](const httplib::Request &request, httplib::Response &response) {
                   const auto limit = request.has_param("limit") ? std::strtoull(request.get_param_value("limit").c_str(), nullptr, 10) : defaultScanLimit;
                   const auto found = *m_table->scan(request.get_param_value("prefix"), limit, request.get_param_value("after"));
                   auto rows = nlohmann::json::array();
                   std::ranges::transform(found, std::back_inserter(rows), rowJson);
                   sendJson(response, 200, {{"rows", rows}});
               }));
    server.Post("/tables/commit", withStoreFaults(withJson([this](const auto &body, const auto &, auto &response) {
                    commit(body, response);
                })));
    server.Post("/faults", withJson([this](const auto &body, const auto &, auto &response) {
                    sendJson(response, setFault(body) ? 200 : 404, nlohmann::json::object());
                }));
}

void platform::commit(const nlohmann::json &body, httplib::Response &response)
{
    const auto outcome = m_table->commit(parseTransaction(body));
    if (m_faults.consume("answer_lost")) {
        dropConnection();
        return;
    }
    sendJson(response, outcome == commit_outcome::Committed ? 200 : 409, nlohmann::json::object());
}

void platform::addObjectRoutes(httplib::Server &server)
{
    server.Get("/objects/(.+)", withStoreFaults([this](const httplib::Request &request, httplib::Response &response) {
                   const std::lock_guard lock(m_objectMutex);
                   const auto found = m_objects.find(request.matches[1]);
                   response.status = found == m_objects.end() ? 404 : 200;
                   response.set_content(found == m_objects.end() ? "" : found->second, "application/octet-stream");
               }));
    server.Put("/objects/(.+)", withStoreFaults([this](const httplib::Request &request, httplib::Response &response) {
                   const std::lock_guard lock(m_objectMutex);
                   m_objects[request.matches[1]] = request.body;
                   sendJson(response, 200, nlohmann::json::object());
               }));
}

void platform::addEndpointRoutes(httplib::Server &server)
{
    server.Get("/instances", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, m_instances.published(m_faults.consume("frozen_instances").has_value()));
    });
    server.Post("/instances", withJson([this](const auto &body, const auto &, auto &response) {
                    m_instances.applyChange(body);
                    sendJson(response, 200, nlohmann::json::object());
                }));
    server.Get("/endpoints", [this](const httplib::Request &request, httplib::Response &response) {
        auto list = nlohmann::json::array();
        std::ranges::transform(m_fleet.list(), std::back_inserter(list), endpointJson);
        const std::string tag = "\"" + std::to_string(std::hash<std::string>()(list.dump())) + "\"";
        response.set_header("ETag", tag);
        if (request.get_header_value("If-None-Match") == tag) {
            response.status = 304;
        } else {
            sendJson(response, 200, list);
        }
    });
    server.Get("/endpoints/orders", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, m_provisioning.report());
    });
    server.Post("/endpoints/orders", withJson([this](const auto &body, const auto &, auto &response) {
                    const auto [status, result] = m_provisioning.handleOrder(body, m_faults.consume("no_endpoints"));
                    sendJson(response, status, result);
                }));
    server.Get("/audit", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, m_fleet.audit());
    });
}

void platform::addUsageRoutes(httplib::Server &server)
{
    server.Post("/usage/reports", withJson([this](const auto &body, const auto &, auto &response) {
                    const auto result = m_usageSink.recordReport(body);
                    if (m_faults.consume("usage_answer_lost")) {
                        dropConnection();
                        return;
                    }
                    sendJson(response, 200, result);
                }));
    server.Get("/usage/reports", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, m_usageSink.report());
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
