#include "standin/fleet.h"

#include "protocol/errors.h"

#include <algorithm>

namespace lacewinglock
{

fleet::~fleet()
{
    stopAll();
}

absl::Status fleet::add(const nlohmann::json &value)
{
    auto newMember = std::make_shared<member>();
    const auto settings = parseEngineSettings(value);
    if (value.value("kind", "model") == "service") {
        newMember->service = std::make_unique<plain_service>(service_settings{.id = settings.id, .host = settings.host, .port = settings.port});
    } else {
        newMember->modelEngine = std::make_unique<engine>(settings);
    }
    if (!(newMember->modelEngine ? newMember->modelEngine->start() : newMember->service->start())) {
        return makeError(absl::StatusCode::kUnavailable, "start endpoint", settings.id, "cannot bind " + settings.host + ":" + std::to_string(settings.port));
    }
    newMember->settings = value;
    newMember->info = {.id = settings.id,
                       .group = value.value("group", ""),
                       .address = newMember->server().address(),
                       .failureDomain = value.value("failure_domain", ""),
                       .reclaimable = value.value("reclaimable", false)};
    const std::lock_guard lock(m_mutex);
    m_members[settings.id] = std::move(newMember);
    return absl::OkStatus();
}

absl::StatusOr<fleet_endpoint> fleet::grant(const std::string &group, const std::string &failureDomain, bool reclaimable)
{
    nlohmann::json value;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::ranges::find_if(m_members, [&](const auto &item) {
            return item.second->info.group == group;
        });
        if (found == m_members.end()) {
            return makeError(absl::StatusCode::kNotFound, "grant endpoint", "platform", "group " + group + " has no endpoint whose settings could be copied");
        }
        value = found->second->settings;
        value["id"] = group + "-granted-" + std::to_string(++m_grantedCount);
    }
    value["port"] = 0;
    value["failure_domain"] = failureDomain;
    value["reclaimable"] = reclaimable;
    if (auto status = add(value); !status.ok()) {
        return status;
    }
    const std::lock_guard lock(m_mutex);
    return m_members.at(value["id"])->info;
}

void fleet::release(const std::string &id)
{
    std::shared_ptr<member> released;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_members.find(id); found != m_members.end()) {
            released = found->second;
            m_members.erase(found);
        }
    }
    if (released) {
        released->server().stop();
    }
}

void fleet::reclaim(const std::string &failureDomain, std::chrono::milliseconds notice)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (auto &[id, entry] : m_members) {
        if (entry->info.reclaimable && entry->info.failureDomain == failureDomain) {
            entry->info.leaving = true;
            entry->modelEngine ? entry->modelEngine->announceLeaving() : entry->service->setFault({{"name", "leaving"}});
            ids.push_back(id);
        }
    }
    m_reclaimThreads.emplace_back([this, ids, notice] {
        stopReclaimed(ids, notice);
    });
}

void fleet::stopReclaimed(const std::vector<std::string> &ids, std::chrono::milliseconds notice)
{
    {
        std::unique_lock lock(m_mutex);
        if (m_stopSignal.wait_for(lock, notice, [this] {
                return m_stopping;
            })) {
            return;
        }
    }
    for (const auto &id : ids) {
        release(id);
    }
}

bool fleet::setFault(const std::string &id, const nlohmann::json &fault)
{
    std::shared_ptr<member> target;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_members.find(id);
        if (found == m_members.end()) {
            return false;
        }
        target = found->second;
    }
    target->modelEngine ? target->modelEngine->setFault(fault) : target->service->setFault(fault);
    return true;
}

std::vector<fleet_endpoint> fleet::list() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<fleet_endpoint> endpoints;
    for (const auto &[id, entry] : m_members) {
        endpoints.push_back(entry->info);
    }
    return endpoints;
}

nlohmann::json fleet::audit() const
{
    const std::lock_guard lock(m_mutex);
    auto result = nlohmann::json::object();
    for (const auto &[id, entry] : m_members) {
        result[id] = entry->modelEngine ? entry->modelEngine->orders() : entry->service->executions();
    }
    return result;
}

void fleet::stopAll()
{
    std::map<std::string, std::shared_ptr<member>> members;
    std::vector<std::thread> reclaimThreads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopSignal.notify_all();
        members.swap(m_members);
        reclaimThreads.swap(m_reclaimThreads);
    }
    for (auto &thread : reclaimThreads) {
        thread.join();
    }
    for (const auto &[id, entry] : members) {
        entry->server().stop();
    }
}

}
