#pragma once

#include "protocol/configuration.h"
#include "protocol/settings.h"
#include "state/metrics.h"
#include "transport/worker_pool.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lacewinglock
{

/// An entry of the platform's endpoint list.
struct platform_endpoint
{
    std::string id;
    endpoint settings;
    bool leaving = false; ///< The platform is about to withdraw the endpoint.
};

/// Parses the body of GET /endpoints; missing fields and fields of the wrong type are an error.
absl::StatusOr<std::vector<platform_endpoint>> parsePlatformEndpoints(const std::string &body);

/// Follows the platform's list of endpoints: granted endpoints join the fleet when they appear in it, and released ones leave the fleet when they
/// disappear. Each daemon fetches the list itself, so that a reclaim notice depends on neither a lease holder nor a heartbeat. Fetches are
/// conditional (ETag); an unchanged list costs no body.
class fleet_watch
{
public:
    /// `onChange` runs on the fetching thread after each new list.
    fleet_watch(socket_address platform, std::function<void()> onChange, metrics *counters = nullptr);

    /// Starts a fetch of the list unless one is running.
    void poll();

    /// Replaces the list. An empty one is ignored, because it would remove the whole fleet.
    void setList(std::vector<platform_endpoint> list);

    /// The endpoints of the configuration that the platform has not withdrawn, and the granted ones whose group is configured.
    std::map<std::string, endpoint> effectiveEndpoints(const configuration &config) const;
    /// Listed endpoints that the platform is about to withdraw.
    std::vector<std::string> leaving() const;

private:
    void fetchList();

    socket_address m_platform;
    std::function<void()> m_onChange;
    metrics *m_counters;
    std::atomic<bool> m_fetchRunning = false;
    std::string m_etag; ///< ETag of the last list; used by the fetching thread only.
    mutable std::mutex m_mutex;
    std::vector<platform_endpoint> m_list;
    std::set<std::string> m_everListed;
    worker_pool m_pool{1}; ///< Declared last, so that its thread ends before the state it uses is destroyed.
};

}
