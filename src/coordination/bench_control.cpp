#include "coordination/bench_state.h"
#include "coordination/fleet_planner.h"
#include "coordination/role_planner.h"
#include "protocol/decision_codec.h"
#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr double roleChangeMs = 5000; // Out of service, after draining.
constexpr double expectedDrainMs = 6000;
constexpr double restartMs = 20000;
constexpr double orderDelayMs = 30000;
constexpr double reclaimNoticeMs = 5000;
constexpr double crashInChangeMs = 2500;
constexpr double enginePrefillRate = 8000;
constexpr double engineDecodeRate = 2600;

}

bool bench_state::storeUp() const
{
    return m_workload.storeDownFromMs < 0 || m_now < m_workload.storeDownFromMs || m_now >= m_workload.storeDownFromMs + m_workload.storeDownMs;
}

void bench_state::measureDemand(const bench_request &request)
{
    m_demand.emplace_back(m_now, token_demand{request.promptTokens * m_missTokens / m_sentTokens, static_cast<double>(request.outputTokens)});
    while (m_demand.front().first < m_now - toMs(tunables::longDemandHorizon)) {
        m_demand.pop_front();
    }
}

/// Mean demand over the last part of the run.
token_demand bench_state::demandOver(double horizonMs) const
{
    token_demand sum;
    for (auto entry = m_demand.rbegin(); entry != m_demand.rend() && entry->first >= m_now - horizonMs; ++entry) {
        sum.promptTokensPerSecond += entry->second.promptTokensPerSecond;
        sum.outputTokensPerSecond += entry->second.outputTokensPerSecond;
    }
    const double seconds = std::max(1.0, std::min(horizonMs, m_now) / 1000.0);
    return {sum.promptTokensPerSecond / seconds, sum.outputTokensPerSecond / seconds};
}

void bench_state::controlRoles()
{
    if (!storeUp()) {
        return;
    }
    role_input input{.group = "main",
                     .shortDemand = demandOver(toMs(tunables::shortDemandHorizon)),
                     .longDemand = demandOver(toMs(tunables::longDemandHorizon)),
                     .changeMs = roleChangeMs + expectedDrainMs,
                     .sinceLastChangeMs = m_now - m_lastRoleChangeMs,
                     .policy = m_variant.roles};
    for (std::size_t index = 0; index < m_fleet.slots.size(); ++index) {
        const auto &fact = m_fleet.facts[index];
        const auto &slot = m_fleet.slots[index];
        input.endpoints.push_back({.id = fact.id,
                                   .role = slot.engine.role(),
                                   .changingRole = fact.changingRole && slot.untilMs < 0,
                                   .available = fact.reachable && !fact.leaving && slot.untilMs < 0,
                                   .runningStreams = slot.assigned,
                                   .prefillTokensPerSecond = enginePrefillRate,
                                   .decodeTokensPerSecond = engineDecodeRate});
    }
    const auto result = decideRole(input);
    m_signature.add(encodeDecision(result).value("endpoint", ""));
    m_signature.add(result.reason);
    const int engine = m_fleet.find(result.endpoint);
    if (engine < 0) {
        return;
    }
    ++m_roleChanges;
    m_lastRoleChangeMs = m_now;
    m_fleet.facts[static_cast<std::size_t>(engine)].changingRole = true;
    m_fleet.slots[static_cast<std::size_t>(engine)].nextRole = result.role;
    finishDrain(engine);
    if (m_workload.crashDuringChange) {
        schedule(m_now + crashInChangeMs, bench_timer::CrashEngine, (engine + 1) % static_cast<int>(m_fleet.slots.size()));
    }
}

/// A changing engine without work left goes out of service for the change itself.
void bench_state::finishDrain(int engine)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (m_fleet.facts[static_cast<std::size_t>(engine)].changingRole && slot.assigned == 0 && slot.nextRole != slot.engine.role()) {
        schedule(m_now + roleChangeMs, bench_timer::RoleDone, engine, slot.generation);
    }
}

void bench_state::controlProvision()
{
    if (!storeUp() || m_workload.reclaimAtMs < 0) {
        return;
    }
    const auto demand = demandOver(toMs(tunables::shortDemandHorizon));
    const double engines = demand.promptTokensPerSecond / enginePrefillRate + demand.outputTokensPerSecond / engineDecodeRate;
    provision_input input{.group = "main",
                          .limits = {.minEndpoints = 4, .maxEndpoints = 16, .cheapShare = 0.5},
                          .demandEndpoints = engines * tunables::roleDemandHeadroom,
                          .reacquireMs = orderDelayMs,
                          .ordinaryCostPerHour = benchOrdinaryCost,
                          .reclaimableCostPerHour = benchReclaimableCost,
                          .policy = m_variant.provision};
    for (std::size_t index = 0; index < m_fleet.slots.size(); ++index) {
        const auto &fact = m_fleet.facts[index];
        if (m_fleet.slots[index].untilMs < 0) {
            input.endpoints.push_back({.id = fact.id,
                                       .failureDomain = fact.failureDomain,
                                       .reclaimable = fact.reclaimable,
                                       .leaving = fact.leaving,
                                       .idleMs = m_now - m_fleet.slots[index].lastBusyMs});
        }
    }
    for (std::size_t index = m_arrived; index < m_arriving.size(); ++index) {
        input.pending.push_back({.failureDomain = m_arriving[index].domain, .reclaimable = m_arriving[index].reclaimable, .count = 1});
    }
    for (int domain = 0; domain < benchDomains; ++domain) {
        input.domains.push_back({.failureDomain = "fd" + std::to_string(domain), .reclaimableAvailable = m_cheapAvailable});
    }
    const auto result = decideProvision(input);
    m_signature.add(result.reason);
    for (const auto &step : result.steps) {
        m_signature.add(step.failureDomain);
        m_signature.add(static_cast<double>(step.count));
        for (int count = 0; count < step.count; ++count) {
            m_arriving.push_back({.domain = step.failureDomain, .reclaimable = step.reclaimable});
            schedule(m_now + orderDelayMs, bench_timer::EngineArrives);
        }
        for (const auto &id : step.release) {
            // Idle for long, so there is nothing to drain.
            const auto index = static_cast<std::size_t>(m_fleet.find(id));
            m_fleet.facts[index].leaving = true;
            m_fleet.slots[index].untilMs = m_now;
        }
    }
}

void bench_state::dropCrashed(int engine, const std::vector<bench_job> &jobs, int suspect)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    ++slot.generation;
    slot.stepping = false;
    m_fleet.facts[static_cast<std::size_t>(engine)].reachable = false;
    for (auto &daemon : m_daemons) {
        daemon.forget(engine);
    }
    for (const auto &job : jobs) {
        auto &course = m_courses[static_cast<std::size_t>(job.request)];
        if (job.request == suspect) {
            course.suspect = true;
            ++course.crashes;
        }
        fail(job.request, job);
    }
}

void bench_state::crash(int engine, int poisonRequest)
{
    auto &fact = m_fleet.facts[static_cast<std::size_t>(engine)];
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (!fact.reachable || slot.untilMs >= 0) {
        return;
    }
    auto jobs = slot.engine.takeAll();
    if (poisonRequest >= 0) {
        jobs.push_back(m_courses[static_cast<std::size_t>(poisonRequest)].job);
    }
    fact.changingRole = false;
    dropCrashed(engine, jobs, poisonRequest);
    schedule(m_now + restartMs, bench_timer::EngineUp, engine);
}

/// Notice of a reclaim, then its execution, for all reclaimable endpoints of a failure domain.
void bench_state::withdrawDomain(int domain, bool noticeOnly)
{
    const std::string name = "fd" + std::to_string(domain);
    m_cheapAvailable = m_cheapAvailable && !m_workload.cheapGoneAfterReclaim;
    for (std::size_t index = 0; index < m_fleet.slots.size(); ++index) {
        auto &fact = m_fleet.facts[index];
        auto &slot = m_fleet.slots[index];
        if (!fact.reclaimable || fact.failureDomain != name || slot.untilMs >= 0) {
            continue;
        }
        fact.leaving = true;
        if (!noticeOnly) {
            const auto jobs = slot.engine.takeAll();
            for (const auto &job : jobs) {
                m_courses[static_cast<std::size_t>(job.request)].cutByReclaim = true;
            }
            slot.untilMs = m_now;
            dropCrashed(static_cast<int>(index), jobs, -1);
        }
    }
    if (noticeOnly) {
        schedule(m_now + reclaimNoticeMs, bench_timer::Reclaim, domain);
    }
}

}
