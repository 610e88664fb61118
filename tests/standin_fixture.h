#pragma once

#include "standin/platform.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Rates at which a fake engine answers a test within milliseconds.
inline engine_settings quickEngine(std::string id)
{
    engine_settings settings;
    settings.id = std::move(id);
    settings.rates = {.prefillTokensPerSecond = 1e6, .decodeStepMs = 1, .decodeStepMsPerStream = 0.01};
    settings.loadLag = std::chrono::milliseconds(0);
    settings.cacheEventLag = std::chrono::milliseconds(0);
    settings.changeTime = std::chrono::milliseconds(200);
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

inline nlohmann::json getJson(fake_server &server, const std::string &path)
{
    const auto answer = clientOf(server).Get(path);
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
}

}
