#pragma once

#include "coordination/poll_schedule.h"
#include "protocol/configuration.h"
#include "state/endpoint_table.h"
#include "state/metrics.h"
#include "transport/core_time.h"
#include "transport/worker_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Polls the endpoints that are this daemon's turn by the rendezvous order over the roster. Results go into the endpoint table, and the
/// latest report of each polled endpoint into the next heartbeat.
class load_poller
{
public:
    load_poller(std::string instanceId, endpoint_table &endpoints, std::function<instant()> now, int threads, metrics *counters = nullptr);

    /// Called from a thread of the poller when an endpoint first reports that it leaves. Set before the first poll.
    void setOnLeaving(std::function<void()> handler);

    /// Starts one poll of each own endpoint that is due and whose last poll has ended; a hanging endpoint occupies one thread up to its timeout.
    void poll(const configuration &config, const std::map<std::string, endpoint> &endpoints, const std::vector<std::string> &members);

    /// Another daemon polled the endpoint at `takenAt`.
    void noteOther(const std::string &endpointId, instant takenAt);

    /// Latest reports of the endpoints this daemon polls, with their age at `now`.
    std::vector<endpoint_report> reports(instant now) const;

private:
    struct visit
    {
        bool running = false;
        std::uint64_t nextCacheEvent = 0;
        endpoint_report report;
        instant takenAt;
        bool polled = false;
    };

    void pollOne(const std::string &id, const endpoint &target, route_kind kind, std::uint64_t nextCacheEvent);

    std::string m_instanceId;
    endpoint_table &m_endpoints;
    std::function<instant()> m_now;
    metrics *m_counters;
    std::function<void()> m_onLeaving;
    mutable std::mutex m_mutex;
    poll_schedule m_schedule;
    std::map<std::string, visit> m_visits;
    worker_pool m_pool; ///< Last, so that its threads end before the state they use.
};

/// The report in the answer of GET /load; fields of the wrong type make it an error.
absl::StatusOr<endpoint_report> parseLoad(const std::string &id, const std::string &body);

}
