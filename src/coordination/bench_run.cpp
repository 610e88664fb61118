#include "coordination/bench_run.h"

#include "coordination/bench_state.h"
#include "coordination/role_planner.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double tickMs = 20;
constexpr double reportIntervalMs = 1000;
constexpr double cacheEventLagMs = 1000;
constexpr double roleControlMs = 5000;
constexpr double provisionControlMs = 10000;
constexpr double drainMs = 20000; // After the last arrival, so that every request can end.

}

bench_state::bench_state(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed)
    : m_workload(workload)
    , m_variant(variant)
    , m_random(seed)
    , m_requests(benchRequests(workload, seed))
    , m_courses(m_requests.size())
    , m_fleet(initialFleet(variant))
{
    for (int request = 0; request < static_cast<int>(m_requests.size()); ++request) {
        schedule(m_requests[static_cast<std::size_t>(request)].arrivalMs, bench_timer::Arrival, request);
    }
    schedule(0, bench_timer::Tick);
    schedule(0, bench_timer::Report);
    schedule(roleControlMs, bench_timer::RoleControl);
    schedule(provisionControlMs, bench_timer::ProvisionControl);
    if (workload.reclaimAtMs >= 0) {
        for (int domain = 0; domain < 2; ++domain) {
            schedule(workload.reclaimAtMs + 60000 * domain, bench_timer::Notice, domain);
        }
    }
}

void bench_state::schedule(double atMs, bench_timer kind, int index, std::uint64_t generation)
{
    m_timers.push({.atMs = atMs, .sequence = m_sequence++, .kind = kind, .index = index, .generation = generation});
}

bench_score bench_state::run()
{
    while (!m_timers.empty() && m_timers.top().atMs < m_workload.durationMs + drainMs) {
        const auto event = m_timers.top();
        m_timers.pop();
        m_now = event.atMs;
        handle(event);
    }
    return score();
}

void bench_state::handle(const bench_timed &event)
{
    switch (event.kind) {
    case bench_timer::Arrival:
        arrive(event.index);
        break;
    case bench_timer::StepEnd:
        endStep(event.index, event.generation);
        break;
    case bench_timer::Import:
        importAt(event.index);
        break;
    case bench_timer::Tick:
        for (int daemon = 0; daemon < benchDaemons; ++daemon) {
            pump(daemon);
        }
        schedule(m_now + tickMs, bench_timer::Tick);
        break;
    case bench_timer::Report:
        takeReports();
        schedule(m_now + reportIntervalMs, bench_timer::Report);
        break;
    case bench_timer::ReportArrives:
        for (auto &daemon : m_daemons) {
            daemon.takeReport(m_reports.front());
        }
        m_reports.pop_front();
        break;
    case bench_timer::CacheEvent:
        takeCacheChange(m_cacheChanges[static_cast<std::size_t>(event.index)]);
        break;
    case bench_timer::RoleDone: {
        auto &slot = m_fleet.slots[static_cast<std::size_t>(event.index)];
        if (slot.generation == event.generation) {
            slot.engine.setRole(slot.nextRole);
            m_fleet.facts[static_cast<std::size_t>(event.index)].changingRole = false;
        }
        break;
    }
    case bench_timer::EngineUp:
        m_fleet.facts[static_cast<std::size_t>(event.index)].reachable = m_fleet.slots[static_cast<std::size_t>(event.index)].untilMs < 0;
        break;
    case bench_timer::EngineArrives: {
        const auto &arriving = m_arriving[m_arrived++];
        m_fleet.add(arriving.domain, arriving.reclaimable, endpoint_role::Mixed, m_now);
        break;
    }
    case bench_timer::RoleControl:
        controlRoles();
        schedule(m_now + roleControlMs, bench_timer::RoleControl);
        break;
    case bench_timer::ProvisionControl:
        controlProvision();
        schedule(m_now + provisionControlMs, bench_timer::ProvisionControl);
        break;
    case bench_timer::Notice:
        withdrawDomain(event.index, true);
        break;
    case bench_timer::Reclaim:
        withdrawDomain(event.index, false);
        break;
    case bench_timer::CrashEngine:
        crash(event.index, -1);
        break;
    }
}

void bench_state::kick(int engine)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (slot.stepping) {
        return;
    }
    if (const double length = slot.engine.beginStep(); length > 0) {
        slot.stepping = true;
        slot.lastBusyMs = m_now;
        schedule(m_now + length, bench_timer::StepEnd, engine, slot.generation);
    }
}

void bench_state::endStep(int engine, std::uint64_t generation)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (slot.generation != generation) {
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
    kick(engine);
}

void bench_state::applyEvent(int engine, const bench_event &event)
{
    switch (event.kind) {
    case bench_event_kind::Token:
    case bench_event_kind::Done:
    case bench_event_kind::PrefillDone: {
        auto &course = m_courses[static_cast<std::size_t>(event.job.request)];
        course.job = event.job;
        token(event.job.request);
        if (event.kind == bench_event_kind::Done) {
            finish(event.job.request);
        } else if (event.kind == bench_event_kind::PrefillDone) {
            schedule(m_now + event.job.promptTokens / tunables::kvTransferTokensPerMs,
                     bench_timer::Import,
                     event.job.request,
                     m_fleet.slots[static_cast<std::size_t>(engine)].generation);
        }
        break;
    }
    case bench_event_kind::Crash:
        crash(engine, event.job.request);
        break;
    case bench_event_kind::Stored:
    case bench_event_kind::Evicted:
        m_cacheChanges.push_back(
            {.engine = engine, .prefix = event.prefix, .stored = event.kind == bench_event_kind::Stored, .gap = m_random.uniform() < m_workload.cacheGapShare});
        schedule(m_now + cacheEventLagMs, bench_timer::CacheEvent, static_cast<int>(m_cacheChanges.size()) - 1);
        break;
    }
}

/// Takes a report of every engine; it arrives after the lag.
void bench_state::takeReports()
{
    for (int engine = 0; engine < static_cast<int>(m_fleet.slots.size()); ++engine) {
        const auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
        const bench_report report{.engine = engine,
                                  .takenMs = m_now,
                                  .role = slot.engine.role(),
                                  .queuedTokens = slot.engine.queuedTokens(),
                                  .streams = slot.engine.streams(),
                                  .freeKvTokens = slot.engine.freeKvTokens()};
        for (auto &daemon : m_daemons) {
            daemon.markReport(report);
        }
        m_reports.push_back(report);
        schedule(m_now <= 0 ? 0 : m_now + m_workload.reportLagMs, bench_timer::ReportArrives);
    }
}

void bench_state::takeCacheChange(const bench_cache_change &change)
{
    for (auto &daemon : m_daemons) {
        if (change.gap) {
            daemon.noteGap(change.engine);
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
