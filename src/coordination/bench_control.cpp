#include "coordination/bench_state.h"
#include "coordination/provision_planner.h"
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

constexpr double roleChangeMs = 5000; // Time out of service after the drain.
constexpr double expectedDrainMs = 6000;
constexpr double restartMs = 20000;
constexpr double orderCompletionMs = 30000;
constexpr double reclaimNoticeMs = 5000;
constexpr double crashDelayMs = 2500;
constexpr double enginePrefillTokensPerSecond = 8000;
constexpr double engineDecodeTokensPerSecond = 2600;

}

bool bench_state::storeAvailable() const
{
    return m_workload.storeDownFromMs < 0 || m_now < m_workload.storeDownFromMs || m_now >= m_workload.storeDownFromMs + m_workload.storeDownMs;
}

void bench_state::recordDemand(const bench_request &request)
{
    m_demand.emplace_back(m_now, token_demand{request.promptTokens * m_uncachedTokens / m_sentTokens, static_cast<double>(request.outputTokens)});
    while (m_demand.front().first < m_now - toMs(tunables::longDemandHorizon)) {
        m_demand.pop_front();
    }
}

/// Returns the mean demand over the last `horizonMs` of the run, in tokens per second.
token_demand bench_state::meanDemand(double horizonMs) const
{
    token_demand sum;
    for (auto entry = m_demand.rbegin(); entry != m_demand.rend() && entry->first >= m_now - horizonMs; ++entry) {
        sum.promptTokensPerSecond += entry->second.promptTokensPerSecond;
        sum.outputTokensPerSecond += entry->second.outputTokensPerSecond;
    }
    const double seconds = std::max(1.0, std::min(horizonMs, m_now) / 1000.0);
    return {sum.promptTokensPerSecond / seconds, sum.outputTokensPerSecond / seconds};
}

void bench_state::runRolePlanner()
{
    if (!storeAvailable()) {
        return;
    }
    role_input input{.group = "main",
                     .shortDemand = meanDemand(toMs(tunables::shortDemandHorizon)),
                     .longDemand = meanDemand(toMs(tunables::longDemandHorizon)),
                     .changeMs = roleChangeMs + expectedDrainMs,
                     .sinceLastChangeMs = m_now - m_lastRoleChangeMs,
                     .policy = m_variant.roles};
    for (std::size_t index = 0; index < m_fleet.slots.size(); ++index) {
        const auto &attribute = m_fleet.attributes[index];
        const auto &slot = m_fleet.slots[index];
        input.endpoints.push_back({.id = attribute.id,
                                   .role = slot.engine.role(),
                                   .changingRole = attribute.changingRole && slot.removedMs < 0,
                                   .available = attribute.reachable && !attribute.leaving && slot.removedMs < 0,
                                   .runningStreams = slot.assignedRequests,
                                   .prefillTokensPerSecond = enginePrefillTokensPerSecond,
                                   .decodeTokensPerSecond = engineDecodeTokensPerSecond});
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
    m_fleet.attributes[static_cast<std::size_t>(engine)].changingRole = true;
    m_fleet.slots[static_cast<std::size_t>(engine)].nextRole = result.role;
    startRoleChangeIfDrained(engine);
    if (m_workload.crashDuringChange) {
        schedule(m_now + crashDelayMs, bench_timer_kind::CrashEngine, (engine + 1) % static_cast<int>(m_fleet.slots.size()));
    }
}

/// Takes an engine that is changing its role out of service once it has no requests left.
void bench_state::startRoleChangeIfDrained(int engine)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (m_fleet.attributes[static_cast<std::size_t>(engine)].changingRole && slot.assignedRequests == 0 && slot.nextRole != slot.engine.role()) {
        schedule(m_now + roleChangeMs, bench_timer_kind::RoleChangeDone, engine, slot.incarnation);
    }
}

void bench_state::runProvisionPlanner()
{
    if (!storeAvailable() || m_workload.reclaimAtMs < 0) {
        return;
    }
    const auto demand = meanDemand(toMs(tunables::shortDemandHorizon));
    const double engines = demand.promptTokensPerSecond / enginePrefillTokensPerSecond + demand.outputTokensPerSecond / engineDecodeTokensPerSecond;
    provision_input input{.group = "main",
                          .limits = {.minEndpoints = 4, .maxEndpoints = 16, .cheapShare = 0.5},
                          .demandEndpoints = engines * tunables::roleDemandHeadroom,
                          .reacquireMs = orderCompletionMs,
                          .ordinaryCostPerHour = benchOrdinaryCost,
                          .reclaimableCostPerHour = benchReclaimableCost,
                          .policy = m_variant.provision};
    for (std::size_t index = 0; index < m_fleet.slots.size(); ++index) {
        const auto &attribute = m_fleet.attributes[index];
        if (m_fleet.slots[index].removedMs < 0) {
            input.endpoints.push_back({.id = attribute.id,
                                       .failureDomain = attribute.failureDomain,
                                       .reclaimable = attribute.reclaimable,
                                       .leaving = attribute.leaving,
                                       .idleMs = m_now - m_fleet.slots[index].lastBusyMs});
        }
    }
    for (std::size_t index = m_addedEngines; index < m_pendingEngines.size(); ++index) {
        input.pending.push_back({.failureDomain = m_pendingEngines[index].domain, .reclaimable = m_pendingEngines[index].reclaimable, .count = 1});
    }
    for (int domain = 0; domain < benchDomains; ++domain) {
        input.domains.push_back({.failureDomain = "fd" + std::to_string(domain), .reclaimableAvailable = m_reclaimableAvailable});
    }
    const auto result = decideProvision(input);
    m_signature.add(result.reason);
    for (const auto &step : result.steps) {
        m_signature.add(step.failureDomain);
        m_signature.add(static_cast<double>(step.count));
        for (int count = 0; count < step.count; ++count) {
            m_pendingEngines.push_back({.domain = step.failureDomain, .reclaimable = step.reclaimable});
            schedule(m_now + orderCompletionMs, bench_timer_kind::EngineAdded);
        }
        for (const auto &id : step.release) {
            // Only endpoints that have been idle for long are released, so there is nothing to drain.
            const auto index = static_cast<std::size_t>(m_fleet.find(id));
            m_fleet.attributes[index].leaving = true;
            m_fleet.slots[index].removedMs = m_now;
        }
    }
}

void bench_state::failCrashedJobs(int engine, const std::vector<bench_job> &jobs, int suspect)
{
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    ++slot.incarnation;
    slot.stepping = false;
    m_fleet.attributes[static_cast<std::size_t>(engine)].reachable = false;
    for (auto &daemon : m_daemons) {
        daemon.clearCachedPrefixes(engine);
    }
    for (const auto &job : jobs) {
        auto &progress = m_progress[static_cast<std::size_t>(job.request)];
        if (job.request == suspect) {
            progress.suspect = true;
            ++progress.crashes;
        }
        failAttempt(job.request, job);
    }
}

void bench_state::crash(int engine, int poisonRequest)
{
    auto &attribute = m_fleet.attributes[static_cast<std::size_t>(engine)];
    auto &slot = m_fleet.slots[static_cast<std::size_t>(engine)];
    if (!attribute.reachable || slot.removedMs >= 0) {
        return;
    }
    auto jobs = slot.engine.removeAllJobs();
    if (poisonRequest >= 0) {
        jobs.push_back(m_progress[static_cast<std::size_t>(poisonRequest)].job);
    }
    attribute.changingRole = false;
    failCrashedJobs(engine, jobs, poisonRequest);
    schedule(m_now + restartMs, bench_timer_kind::EngineRestarted, engine);
}

/// Announces (`isNotice`) or executes the reclaim of all reclaimable endpoints of a failure domain. A notice schedules the execution.
void bench_state::reclaimDomain(int domain, bool isNotice)
{
    const std::string name = "fd" + std::to_string(domain);
    m_reclaimableAvailable = m_reclaimableAvailable && !m_workload.noReclaimableAfterReclaim;
    for (std::size_t index = 0; index < m_fleet.slots.size(); ++index) {
        auto &attribute = m_fleet.attributes[index];
        auto &slot = m_fleet.slots[index];
        if (!attribute.reclaimable || attribute.failureDomain != name || slot.removedMs >= 0) {
            continue;
        }
        attribute.leaving = true;
        if (!isNotice) {
            const auto jobs = slot.engine.removeAllJobs();
            for (const auto &job : jobs) {
                m_progress[static_cast<std::size_t>(job.request)].interruptedByReclaim = true;
            }
            slot.removedMs = m_now;
            failCrashedJobs(static_cast<int>(index), jobs, -1);
        }
    }
    if (isNotice) {
        schedule(m_now + reclaimNoticeMs, bench_timer_kind::Reclaim, domain);
    }
}

}
