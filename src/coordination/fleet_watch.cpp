#include "coordination/fleet_watch.h"

#include "protocol/errors.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

absl::StatusOr<std::vector<platform_endpoint>> parsePlatformEndpoints(const std::string &body)
{
    try {
        std::vector<platform_endpoint> list;
        for (const auto &item : nlohmann::json::parse(body)) {
            list.push_back({
                .id = item.at("id"),
                .settings = {.group = item.at("group"),
                             .address = item.at("address"),
                             .failureDomain = item.at("failure_domain"),
                             .reclaimable = item.value("reclaimable", false)},
                .leaving = item.value("leaving", false),
            });
        }
        return list;
    } catch (const nlohmann::json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "parse endpoint list", "platform", error.what());
    }
}

fleet_watch::fleet_watch(socket_address platform, std::function<void()> onChange, metrics *counters)
    : m_platform(std::move(platform))
    , m_onChange(std::move(onChange))
    , m_counters(counters)
{
}

void fleet_watch::poll()
{
    if (!m_fetchRunning.exchange(true)) {
        m_pool.submit([this] {
            fetchList();
            m_fetchRunning = false;
        });
    }
}

void fleet_watch::fetchList()
{
    httplib::Client client(m_platform.host, m_platform.port);
    client.set_connection_timeout(tunables::pollTimeout);
    client.set_read_timeout(tunables::pollTimeout);
    const auto answer = client.Get("/endpoints", httplib::Headers{{"If-None-Match", m_etag}});
    if (!answer || answer->status != 200) {
        return; // Not modified, or the platform gave no valid answer; the last list stays in use.
    }
    if (m_counters != nullptr) {
        m_counters->count(metric_counter::ControlBytesReceived, answer->body.size());
    }
    auto list = parsePlatformEndpoints(answer->body);
    if (!list.ok()) {
        LOG_EVERY_N(WARNING, 100) << list.status().message();
        return;
    }
    m_etag = answer->get_header_value("ETag");
    setList(*std::move(list));
    m_onChange();
}

void fleet_watch::setList(std::vector<platform_endpoint> list)
{
    if (list.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_list = std::move(list);
    for (const auto &item : m_list) {
        m_everListed.insert(item.id);
    }
}

std::map<std::string, endpoint> fleet_watch::effectiveEndpoints(const configuration &config) const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string, std::less<>> present;
    auto endpoints = config.endpoints;
    for (const auto &item : m_list) {
        present.insert(item.id);
        if (config.groups.contains(item.settings.group)) {
            endpoints.try_emplace(item.id, item.settings);
        }
    }
    // An endpoint that the platform never listed is not managed by the platform, so its absence from the list does not withdraw it.
    std::erase_if(endpoints, [&](const auto &item) {
        return m_everListed.contains(item.first) && !present.contains(item.first);
    });
    return endpoints;
}

std::vector<std::string> fleet_watch::leaving() const
{
    std::vector<std::string> ids;
    const std::lock_guard lock(m_mutex);
    for (const auto &item : m_list) {
        if (item.leaving) {
            ids.push_back(item.id);
        }
    }
    return ids;
}

}
