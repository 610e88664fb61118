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

/// Polls the load reports and cache events of the endpoints that the rendezvous order over the roster assigns to this daemon. Results go into the
/// endpoint table, and the latest report of each polled endpoint into the next heartbeat.
class load_poller
{
public:
    load_poller(std::string instanceId, endpoint_table &endpoints, std::function<instant()> now, int threads, metrics *counters = nullptr);

    /// Sets the handler that a thread of the poller calls when an endpoint first reports that it is leaving. Must be set before the first poll.
    void setOnLeaving(std::function<void()> handler);

    /// Starts one poll of each assigned endpoint that is due and whose last poll has ended. An endpoint that hangs occupies one thread until the
    /// timeout.
    void poll(const configuration &config, const std::map<std::string, endpoint> &endpoints, const std::vector<std::string> &members);

    /// Records that another daemon polled the endpoint at `takenAt`.
    void noteOtherPoll(const std::string &endpointId, instant takenAt);

    /// The latest reports of the endpoints that this daemon polls, with their age at `now`.
    std::vector<endpoint_report> reports(instant now) const;

private:
    struct poll_state
    {
        bool running = false;
        std::uint64_t nextCacheEvent = 0; ///< Position to fetch the next cache events from.
        endpoint_report report;
        instant takenAt;
        bool polled = false; ///< A first poll has ended, so `report` is valid.
    };

    void pollOne(const std::string &id, const endpoint &target, route_kind kind, std::uint64_t nextCacheEvent);

    std::string m_instanceId;
    endpoint_table &m_endpoints;
    std::function<instant()> m_now;
    metrics *m_counters;
    std::function<void()> m_onLeaving;
    mutable std::mutex m_mutex;
    poll_schedule m_schedule;
    std::map<std::string, poll_state> m_polls;
    worker_pool m_pool; ///< Declared last, so that its threads end before the state they use is destroyed.
};

/// Parses the body of an answer to GET /load; fields of the wrong type are an error.
absl::StatusOr<endpoint_report> parseLoadReport(const std::string &id, const std::string &body);

}
