#pragma once

#include "standin/platform.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Settings with which a fake engine completes a request within milliseconds.
inline engine_settings fastEngine(std::string id)
{
    engine_settings settings;
    settings.id = std::move(id);
    settings.rates = {.prefillTokensPerSecond = 1e6, .decodeStepMs = 1, .decodeStepMsPerStream = 0.01};
    settings.loadLag = std::chrono::milliseconds(0);
    settings.cacheEventLag = std::chrono::milliseconds(0);
    settings.roleChangeTime = std::chrono::milliseconds(200);
    return settings;
}

inline httplib::Client clientOf(fake_server &server)
{
    httplib::Client client("127.0.0.1", server.port());
    client.set_read_timeout(5);
    return client;
}

inline httplib::Result postJson(fake_server &server, const std::string &path, const nlohmann::json &body, const httplib::Headers &headers = {})
{
    return clientOf(server).Post(path, headers, body.dump(), "application/json");
}

/// Returns the JSON body of the response, or null when the request failed.
inline nlohmann::json getJson(fake_server &server, const std::string &path)
{
    const auto response = clientOf(server).Get(path);
    return response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
}

}
