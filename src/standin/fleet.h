#pragma once

#include "standin/engine.h"
#include "standin/service.h"

#include <absl/status/statusor.h>
#include <map>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// Entry of the platform's list of endpoints.
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

    /// Starts an engine or a plain service. `value` has the fields of parseEngineSettings and group, failure_domain, reclaimable, kind.
    /// Returns kUnavailable when the port cannot be bound.
    absl::Status add(const nlohmann::json &value);
    /// Starts an endpoint with the settings of the first one of the group, on a port that the operating system assigns. Returns kNotFound
    /// when the group has no endpoint, or the error of add().
    absl::StatusOr<fleet_endpoint> grant(const std::string &group, const std::string &failureDomain, bool reclaimable);
    /// Stops the endpoint and removes it from the fleet; unknown ids are ignored.
    void release(const std::string &id);
    /// Sets `leaving` on the reclaimable endpoints of a failure domain and stops them after the notice period.
    void reclaim(const std::string &failureDomain, std::chrono::milliseconds notice);

    /// Sets a fault of one endpoint, which may have crashed. Returns false when the id is unknown.
    bool setFault(const std::string &id, const nlohmann::json &fault);
    std::vector<fleet_endpoint> list() const;
    /// Record of each endpoint for checks after a run: of engines the orders, conflicts and attempts aborted by role changes, of plain services
    /// the executions.
    nlohmann::json audit() const;
    /// Stops all endpoints; pending reclaims are dropped.
    void stopAll();

private:
    struct member
    {
        fleet_endpoint info;
        nlohmann::json settings;
        std::unique_ptr<engine> modelEngine;
        std::unique_ptr<plain_service> service;

        fake_server &server() const
        {
            return modelEngine ? modelEngine->server() : service->server();
        }
    };

    void stopReclaimed(const std::vector<std::string> &ids, std::chrono::milliseconds notice);

    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<member>> m_members;
    int m_grantedCount = 0;
    std::condition_variable m_stopSignal;
    bool m_stopping = false;
    std::vector<std::thread> m_reclaimThreads;
};

}
