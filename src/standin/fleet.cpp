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
    auto added = std::make_shared<member>();
    const auto settings = parseEngineSettings(value);
    if (value.value("kind", "model") == "service") {
        added->service = std::make_unique<plain_service>(service_settings{.id = settings.id, .host = settings.host, .port = settings.port});
    } else {
        added->model = std::make_unique<engine>(settings);
    }
    if (!(added->model ? added->model->start() : added->service->start())) {
        return makeError(absl::StatusCode::kUnavailable, "start endpoint", settings.id, "can't bind " + settings.host + ":" + std::to_string(settings.port));
    }
    added->settings = value;
    added->info = {.id = settings.id,
                   .group = value.value("group", ""),
                   .address = added->server().address(),
                   .failureDomain = value.value("failure_domain", ""),
                   .reclaimable = value.value("reclaimable", false)};
    const std::lock_guard lock(m_mutex);
    m_members[settings.id] = std::move(added);
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
            return makeError(absl::StatusCode::kNotFound, "grant endpoint", "platform", "no endpoint of group " + group + " to copy");
        }
        value = found->second->settings;
        value["id"] = group + "-granted-" + std::to_string(++m_granted);
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
    for (auto &[id, known] : m_members) {
        if (known->info.reclaimable && known->info.failureDomain == failureDomain) {
            known->info.leaving = true;
            known->model ? known->model->announceLeaving() : known->service->setFault({{"name", "leaving"}});
            ids.push_back(id);
        }
    }
    m_reclaims.emplace_back([this, ids, notice] {
        endReclaimed(ids, notice);
    });
}

void fleet::endReclaimed(const std::vector<std::string> &ids, std::chrono::milliseconds notice)
{
    {
        std::unique_lock lock(m_mutex);
        if (m_changed.wait_for(lock, notice, [this] {
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
    target->model ? target->model->setFault(fault) : target->service->setFault(fault);
    return true;
}

std::vector<fleet_endpoint> fleet::list() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<fleet_endpoint> endpoints;
    for (const auto &[id, known] : m_members) {
        endpoints.push_back(known->info);
    }
    return endpoints;
}

nlohmann::json fleet::audit() const
{
    const std::lock_guard lock(m_mutex);
    auto result = nlohmann::json::object();
    for (const auto &[id, known] : m_members) {
        result[id] = known->model ? known->model->orders() : known->service->executions();
    }
    return result;
}

void fleet::stopAll()
{
    std::map<std::string, std::shared_ptr<member>> members;
    std::vector<std::thread> reclaims;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
        members.swap(m_members);
        reclaims.swap(m_reclaims);
    }
    for (auto &thread : reclaims) {
        thread.join();
    }
    for (const auto &[id, known] : members) {
        known->server().stop();
    }
}

}
