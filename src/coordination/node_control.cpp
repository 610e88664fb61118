#include "coordination/node.h"
#include "protocol/tunables.h"
#include "state/process_gauges.h"
#include "state/rendezvous.h"

#include <algorithm>
#include <glog/logging.h>
#include <httplib.h>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr auto fleetPollInterval = std::chrono::milliseconds(500); // A quarter of the 2 s within which all daemons must act on a leaving notice.

}

// State machines run on this thread only. Other threads reach them through queued tasks and events.
void node::runControl()
{
    instant nextTick = m_now();
    instant nextSecond = nextTick;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_controlWake.wait_for(lock, std::chrono::duration_cast<std::chrono::microseconds>(nextTick - m_now()), [this] {
            return m_stopping || !m_pendingEvents.empty() || !m_tasks.empty();
        });
        processPendingEvents(lock);
        const instant now = m_now();
        if (now < nextTick) {
            continue;
        }
        nextTick = now + tunables::controlTick;
        lock.unlock();
        const std::int64_t cpuBefore = threadCpuMicroseconds();
        tickStateMachines(now);
        if (now >= nextSecond) {
            nextSecond = now + tunables::heartbeatInterval;
            runEverySecond(now);
        }
        publishSnapshot(now);
        releaseLeases(now);
        m_metrics.count(metric_counter::TickMicroseconds, static_cast<std::uint64_t>(threadCpuMicroseconds() - cpuBefore));
        lock.lock();
    }
}

void node::processPendingEvents(std::unique_lock<std::mutex> &lock)
{
    const auto events = std::exchange(m_pendingEvents, {});
    const auto tasks = std::exchange(m_tasks, {});
    lock.unlock();
    for (const auto &task : tasks) {
        task(m_now());
    }
    for (const auto &[index, event] : events) {
        dispatchEvent(index, event, m_now());
    }
    lock.lock();
}

void node::dispatchEvent(std::size_t index, const control_event &event, instant now)
{
    std::vector<control_effect> effects;
    m_stateMachines[index].handle(event, now, effects);
    submitEffects(index, std::move(effects));
}

void node::submitEffects(std::size_t index, std::vector<control_effect> effects)
{
    for (auto &effect : effects) {
        const bool counted = !m_stateMachines[index].release;
        m_effectsInFlight += counted ? 1 : 0;
        m_runner->submit(std::move(effect), [this, index, counted](control_event result) {
            m_effectsInFlight -= counted ? 1 : 0;
            const std::lock_guard lock(m_mutex);
            m_pendingEvents.push_back({.machineIndex = index, .event = std::move(result)});
            m_controlWake.notify_all();
        });
    }
}

void node::tickStateMachines(instant now)
{
    const window_clock window = usageWindow();
    m_usageBatcher.setWindow(window);
    m_usageKeeper.setWindow(window);
    if (m_draining) {
        m_usageBatcher.requestFlush();
    }
    for (std::size_t index = 0; index < m_stateMachines.size(); ++index) {
        dispatchEvent(index, tick_event{}, now);
    }
    if (now >= m_nextFleetPoll) {
        m_nextFleetPoll = now + fleetPollInterval;
        m_fleetWatch->poll();
    }
    m_poller->poll(m_config.current()->parsed, m_fleet, m_rosterKeeper.liveMembers(now));
    m_usageFlushed = m_usageBatcher.idle();
}

// Usage windows follow the wall clock: window N starts at N times the window length, in seconds since the Unix epoch.
window_clock node::usageWindow() const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto current = static_cast<std::uint64_t>(seconds) / m_settings.usageWindowSeconds;
    const auto graceEnd = static_cast<std::uint64_t>(seconds) - m_settings.usageGraceSeconds;
    return {.current = current, .firstNotClosable = graceEnd / m_settings.usageWindowSeconds};
}

// Forwards endpoint reports to the order keeper, which waits until endpoints are drained and until its orders have taken effect.
void node::forwardEndpointReports(instant now)
{
    for (const auto &report : m_endpoints.reports(now)) {
        if (const auto settings = m_fleet.find(report.endpoint); settings != m_fleet.end()) {
            const auto age = fromMs(report.ageMs);
            m_orderKeeper.noteReport(report, now - age, settings->second.checksFencing);
        }
    }
}

// Updates the endpoint table and the order keeper from the configuration and the platform's list, and marks leaving endpoints.
void node::updateEndpoints()
{
    const auto config = m_config.current();
    if (config->parsed.version == 0) {
        return;
    }
    m_fleet = m_fleetWatch->effectiveEndpoints(config->parsed);
    m_endpoints.configure(m_fleet);
    for (const auto &endpoint : m_fleetWatch->leaving()) {
        m_endpoints.markLeaving(endpoint);
    }
    std::set<std::string> endpointIds;
    for (const auto &[id, settings] : m_fleet) {
        endpointIds.insert(id);
    }
    m_orderKeeper.setFleet(std::move(endpointIds));
}

void node::tickFleetController(instant now)
{
    const auto config = m_config.current();
    if (config->parsed.version == 0) {
        return;
    }
    fleet_snapshot snapshot{.config = config->parsed, .endpoints = m_fleet, .reports = m_endpoints.reports(now), .demand = cellDemand(now)};
    for (const auto &lease : m_leases) {
        const bool held = !m_releasingLeases && lease->grant(now).has_value();
        snapshot.holdsOrders = snapshot.holdsOrders || (held && lease->duty() == "orders");
        snapshot.holdsProvision = snapshot.holdsProvision || (held && lease->duty() == "provision");
    }
    m_fleetController.tick(snapshot, now);
}

void node::runEverySecond(instant now)
{
    const auto &members = m_rosterKeeper.roster().members;
    for (auto &lease : m_leases) {
        lease->setRank(rendezvousRank(lease->duty(), m_settings.instanceId, members));
    }
    m_claimCleaner.setDaemonCount(members.size());
    updateEndpoints();
    forwardEndpointReports(now);
    m_orderKeeper.noteDrainConfirmed(m_rosterKeeper.allAnsweredSince());
    tickFleetController(now);
    {
        const std::lock_guard lock(m_followerMutex);
        m_follower.setRoster(members, m_settings.instanceId);
    }
    for (const auto &endpoint : m_fleetController.retiring()) {
        m_endpoints.markDraining(endpoint, now + tunables::drainMarkLifetime);
    }
    if (const auto notice = m_orderKeeper.notice()) {
        m_endpoints.applyDrainNotice(*notice);
    }
    m_link->sendHeartbeats(makeHeartbeat(now));
    // Copies held for a daemon that left the roster become records of this daemon, which writes them with its next batch.
    if (m_rosterKeeper.roster().version > 0) {
        const auto adopted = m_usage.adoptOrphans([&](std::string_view owner) {
            return m_rosterKeeper.roster().contains(owner);
        });
        LOG_IF(INFO, adopted > 0) << "adopted usage records of daemons that left the roster: " << adopted;
    }
}

// Copies the state of the control thread that other threads read.
void node::publishSnapshot(instant now)
{
    const std::lock_guard lock(m_mutex);
    m_roster = m_rosterKeeper.roster();
    m_duties.clear();
    m_leaseStatus.clear();
    for (const auto &lease : m_leases) {
        const bool here = lease->grant(now).has_value();
        const auto &holder = lease->knownHolder(now);
        // The lease row holds INSTANCE/INCARNATION. Operators identify daemons by the instance id alone.
        m_leaseStatus.push_back({.duty = lease->duty(), .holder = holder.substr(0, holder.rfind('/')), .epoch = lease->knownEpoch(now), .heldHere = here});
        if (here) {
            m_duties.push_back(lease->duty());
        }
    }
}

// Releases the leases only after the last effect sent under them has completed, so that no successor starts while one is still running.
void node::releaseLeases(instant now)
{
    if (!m_releasingLeases) {
        return;
    }
    if (!m_leaseReleaseStarted && m_effectsInFlight == 0) {
        m_leaseReleaseStarted = true;
        for (std::size_t index = 0; index < m_stateMachines.size(); ++index) {
            if (m_stateMachines[index].release) {
                std::vector<control_effect> effects;
                m_stateMachines[index].release(now, effects);
                submitEffects(index, std::move(effects));
            }
        }
    }
    if (m_leaseReleaseStarted && std::ranges::all_of(m_leases, [](const auto &lease) {
            return lease->released();
        })) {
        const std::lock_guard lock(m_mutex);
        m_leasesReleased = true;
        m_controlWake.notify_all();
    }
}

void node::postToControlThread(std::function<void(instant)> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    m_controlWake.notify_all();
}

void node::stopControl()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_controlWake.notify_all();
    }
    if (m_controlThread.joinable()) {
        m_controlThread.join();
    }
}

}
