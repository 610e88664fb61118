#include "coordination/bench_run.h"

#include "coordination/bench_state.h"
#include "coordination/role_planner.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double queueTickMs = 20;
constexpr double reportIntervalMs = 1000;
constexpr double cacheEventDelayMs = 1000;
constexpr double roleControlMs = 5000;
constexpr double provisionControlMs = 10000;
constexpr double completionMs = 20000; // Time after the last arrival in which the open requests can complete.

}

bench_state::bench_state(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed)
    : m_workload(workload)
    , m_variant(variant)
    , m_random(seed)
    , m_requests(benchRequests(workload, seed))
    , m_progress(m_requests.size())
    , m_fleet(initialFleet(variant))
{
    for (int request = 0; request < static_cast<int>(m_requests.size()); ++request) {
        schedule(m_requests[static_cast<std::size_t>(request)].arrivalMs, bench_timer_kind::Arrival, request);
    }
    schedule(0, bench_timer_kind::Tick);
    schedule(0, bench_timer_kind::Report);
    schedule(roleControlMs, bench_timer_kind::RoleControl);
    schedule(provisionControlMs, bench_timer_kind::ProvisionControl);
    if (workload.reclaimAtMs >= 0) {
        for (int domain = 0; domain < 2; ++domain) {
            schedule(workload.reclaimAtMs + 60000 * domain, bench_timer_kind::ReclaimNotice, domain);
        }
    }
}

void bench_state::schedule(double atMs, bench_timer_kind kind, int index, std::uint64_t incarnation)
{
    m_timers.push({.atMs = atMs, .sequence = m_sequence++, .kind = kind, .index = index, .incarnation = incarnation});
}

bench_score bench_state::run()
{
    while (!m_timers.empty() && m_timers.top().atMs < m_workload.durationMs + completionMs) {
        const auto event = m_timers.top();
        m_timers.pop();
        m_now = event.atMs;
        handle(event);
    }
    return score();
}

void bench_state::handle(const bench_timer &event)
{
    switch (event.kind) {
    case bench_timer_kind::Arrival:
        handleArrival(event.index);
        break;
    case bench_timer_kind::StepEnd:
        endStep(event.index, event.incarnation);
        break;
    case bench_timer_kind::StreamTransfer:
        transferStream(event.index);
        break;
    case bench_timer_kind::Tick:
        for (int daemon = 0; daemon < benchDaemons; ++daemon) {
            processQueues(daemon);
        }
        schedule(m_now + queueTickMs, bench_timer_kind::Tick);
        break;
    case bench_timer_kind::Report:
        createReports();
        schedule(m_now + reportIntervalMs, bench_timer_kind::Report);
        break;
    case bench_timer_kind::ReportArrives:
        for (auto &daemon : m_daemons) {
            daemon.applyReport(m_reports.front());
        }
        m_reports.pop_front();
        break;
    case bench_timer_kind::CacheEvent:
        applyCacheChange(m_cacheChanges[static_cast<std::size_t>(event.index)]);
        break;
    case bench_timer_kind::RoleChangeDone: {
        auto &slot = m_fleet.slots[static_cast<std::size_t>(event.index)];
        if (slot.incarnation == event.incarnation) {
            slot.engine.setRole(slot.nextRole);
            m_fleet.attributes[static_cast<std::size_t>(event.index)].changingRole = false;
        }
        break;
    }
    case bench_timer_kind::EngineRestarted:
        m_fleet.attributes[static_cast<std::size_t>(event.index)].reachable = m_fleet.slots[static_cast<std::size_t>(event.index)].removedMs < 0;
        break;
    case bench_timer_kind::EngineAdded: {
        const auto &pending = m_pendingEngines[m_addedEngines++];
        m_fleet.add(pending.domain, pending.reclaimable, endpoint_role::Mixed, m_now);
        break;
    }
    case bench_timer_kind::RoleControl:
        runRolePlanner();
        schedule(m_now + roleControlMs, bench_timer_kind::RoleControl);
        break;
    case bench_timer_kind::ProvisionControl:
        runProvisionPlanner();
        schedule(m_now + provisionControlMs, bench_timer_kind::ProvisionControl);
        break;
    case bench_timer_kind::ReclaimNotice:
        reclaimDomain(event.index, true);
        break;
    case bench_timer_kind::Reclaim:
        reclaimDomain(event.index, false);
        break;
    case bench_timer_kind::CrashEngine:
        crash(event.index, -1);
        break;
    }
}

void bench_state::startStep(int engine)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (slot.stepping) {
        return;
    }
    if (const double length = slot.engine.beginStep(); length > 0) {
        slot.stepping = true;
        slot.lastBusyMs = m_now;
        schedule(m_now + length, bench_timer_kind::StepEnd, engine, slot.incarnation);
    }
}

void bench_state::endStep(int engine, std::uint64_t incarnation)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (slot.incarnation != incarnation) {
        return;
    }
    slot.stepping = false;
    std::vector<bench_event> events;
    slot.engine.finishStep(events);
    for (const auto &event : events) {
        applyEvent(engine, event);
        if (event.kind == bench_event_kind::Crash) {
            return;
        }
    }
    startStep(engine);
}

void bench_state::applyEvent(int engine, const bench_event &event)
{
    switch (event.kind) {
    case bench_event_kind::Token:
    case bench_event_kind::Done:
    case bench_event_kind::PrefillDone: {
        auto &progress = m_progress[static_cast<std::size_t>(event.job.request)];
        progress.job = event.job;
        recordToken(event.job.request);
        if (event.kind == bench_event_kind::Done) {
            completeRequest(event.job.request);
        } else if (event.kind == bench_event_kind::PrefillDone) {
            schedule(m_now + event.job.promptTokens / tunables::kvTransferTokensPerMs,
                     bench_timer_kind::StreamTransfer,
                     event.job.request,
                     m_fleet.slots[static_cast<std::size_t>(engine)].incarnation);
        }
        break;
    }
    case bench_event_kind::Crash:
        crash(engine, event.job.request);
        break;
    case bench_event_kind::Stored:
    case bench_event_kind::Evicted:
        m_cacheChanges.push_back({.engine = engine,
                                  .prefix = event.prefix,
                                  .stored = event.kind == bench_event_kind::Stored,
                                  .eventLost = m_random.uniform() < m_workload.cacheEventLossRate});
        schedule(m_now + cacheEventDelayMs, bench_timer_kind::CacheEvent, static_cast<int>(m_cacheChanges.size()) - 1);
        break;
    }
}

/// Creates a load report of every engine. The reports of the first round arrive at once, all others after the report delay.
void bench_state::createReports()
{
    for (int engine = 0; engine < static_cast<int>(m_fleet.slots.size()); ++engine) {
        const auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
        const bench_report report{.engine = engine,
                                  .createdMs = m_now,
                                  .role = slot.engine.role(),
                                  .queuedTokens = slot.engine.queuedTokens(),
                                  .streams = slot.engine.streams(),
                                  .freeKvTokens = slot.engine.freeKvTokens()};
        for (auto &daemon : m_daemons) {
            daemon.snapshotCounters(report);
        }
        m_reports.push_back(report);
        schedule(m_now <= 0 ? 0 : m_now + m_workload.reportDelayMs, bench_timer_kind::ReportArrives);
    }
}

void bench_state::applyCacheChange(const bench_cache_change &change)
{
    for (auto &daemon : m_daemons) {
        if (change.eventLost) {
            daemon.recordLostCacheEvent(change.engine);
        } else {
            daemon.setCached(change.engine, change.prefix, change.stored ? 1 : 0);
        }
    }
}

bench_score runWorkload(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed)
{
    return bench_state(workload, variant, seed).run();
}

}
