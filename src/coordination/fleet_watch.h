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

/// An endpoint in the platform's list.
struct platform_endpoint
{
    std::string id;
    endpoint settings;
    bool leaving = false;
};

absl::StatusOr<std::vector<platform_endpoint>> parsePlatformEndpoints(const std::string &body);

/// Follows the platform's list of endpoints, from which granted endpoints join the fleet and released ones leave it. Each daemon reads
/// the list itself, so that a notice needs neither a lease holder nor a heartbeat; an unchanged list is answered without a body.
class fleet_watch
{
public:
    /// `onChange` runs on the watch's thread after each new list.
    fleet_watch(socket_address platform, std::function<void()> onChange, metrics *counters = nullptr);

    /// Reads the list unless a read is running.
    void poll();

    /// Takes a list. An empty one is ignored: it would take the whole fleet away.
    void take(std::vector<platform_endpoint> list);

    /// The endpoints of the configuration that the platform has not withdrawn, and those that it granted to a group of the configuration.
    std::map<std::string, endpoint> merge(const configuration &config) const;
    std::vector<std::string> leaving() const;

private:
    void readList();

    socket_address m_platform;
    std::function<void()> m_onChange;
    metrics *m_counters;
    std::atomic<bool> m_reading = false;
    std::string m_tag; ///< Of the last list; used by the reading thread only.
    mutable std::mutex m_mutex;
    std::vector<platform_endpoint> m_list;
    std::set<std::string> m_everListed;
    worker_pool m_pool{1}; ///< Last, so that its thread ends before the state it uses.
};

}
