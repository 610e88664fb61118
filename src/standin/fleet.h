#pragma once

#include "standin/engine.h"
#include "standin/service.h"

#include <absl/status/statusor.h>
#include <map>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// An endpoint as the platform lists it.
struct fleet_endpoint
{
    std::string id;
    std::string group;
    std::string address;
    std::string failureDomain;
    bool reclaimable = false;
    bool leaving = false;
};

/// All fake engines and services of one process. Thread-safe.
class fleet
{
public:
    ~fleet();

    /// Starts an engine or a service; `value` has the fields of parseEngineSettings and id, group, failure_domain, reclaimable, kind.
    absl::Status add(const nlohmann::json &value);
    /// Starts an engine like the first one of the group, on a port chosen by the system.
    absl::StatusOr<fleet_endpoint> grant(const std::string &group, const std::string &failureDomain, bool reclaimable);
    /// Stops the endpoint for good.
    void release(const std::string &id);
    /// Gives notice to the reclaimable endpoints of a failure domain and stops them when it has run out.
    void reclaim(const std::string &failureDomain, std::chrono::milliseconds notice);

    /// Sets a fault of one endpoint, also of a crashed one.
    bool setFault(const std::string &id, const nlohmann::json &fault);
    std::vector<fleet_endpoint> list() const;
    /// Conflicting orders, streams cut by role changes, executions: all that a test asks after a run, by endpoint.
    nlohmann::json audit() const;
    void stopAll();

private:
    struct member
    {
        fleet_endpoint info;
        nlohmann::json settings;
        std::unique_ptr<engine> model;
        std::unique_ptr<plain_service> service;

        fake_server &server() const
        {
            return model ? model->server() : service->server();
        }
    };

    void endReclaimed(const std::vector<std::string> &ids, std::chrono::milliseconds notice);

    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<member>> m_members;
    int m_granted = 0;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::vector<std::thread> m_reclaims;
};

}
