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

constexpr auto fleetPollInterval = std::chrono::milliseconds(500); // A quarter of the time in which a notice must be in force.

}

// Machines run on this thread only; everything else reaches them through tasks and answers.
void node::runControl()
{
    instant nextTick = m_now();
    instant nextSecond = nextTick;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, std::chrono::duration_cast<std::chrono::microseconds>(nextTick - m_now()), [this] {
            return m_stopping || !m_answers.empty() || !m_tasks.empty();
        });
        takeAnswers(lock);
        const instant now = m_now();
        if (now < nextTick) {
            continue;
        }
        nextTick = now + tunables::controlTick;
        lock.unlock();
        const std::int64_t cpuBefore = threadCpuMicroseconds();
        tickMachines(now);
        if (now >= nextSecond) {
            nextSecond = now + tunables::heartbeatInterval;
            everySecond(now);
        }
        publish(now);
        handOverLeases(now);
        m_metrics.count(metric_counter::TickMicroseconds, static_cast<std::uint64_t>(threadCpuMicroseconds() - cpuBefore));
        lock.lock();
    }
}

void node::takeAnswers(std::unique_lock<std::mutex> &lock)
{
    const auto answers = std::exchange(m_answers, {});
    const auto tasks = std::exchange(m_tasks, {});
    lock.unlock();
    for (const auto &task : tasks) {
        task(m_now());
    }
    for (const auto &[index, event] : answers) {
        deliver(index, event, m_now());
    }
    lock.lock();
}

void node::deliver(std::size_t index, const control_event &event, instant now)
{
    std::vector<control_effect> effects;
    m_machines[index].handle(event, now, effects);
    submit(index, std::move(effects));
}

void node::submit(std::size_t index, std::vector<control_effect> effects)
{
    for (auto &effect : effects) {
        const bool counted = !m_machines[index].release;
        m_effectsInFlight += counted ? 1 : 0;
        m_runner->submit(std::move(effect), [this, index, counted](control_event result) {
            m_effectsInFlight -= counted ? 1 : 0;
            const std::lock_guard lock(m_mutex);
            m_answers.push_back({.machine = index, .event = std::move(result)});
            m_changed.notify_all();
        });
    }
}

void node::tickMachines(instant now)
{
    const window_clock window = usageWindow();
    m_usageBatcher.setWindow(window);
    m_usageKeeper.setWindow(window);
    if (m_draining) {
        m_usageBatcher.flushSoon();
    }
    for (std::size_t index = 0; index < m_machines.size(); ++index) {
        deliver(index, tick_event{}, now);
    }
    if (now >= m_nextFleetPoll) {
        m_nextFleetPoll = now + fleetPollInterval;
        m_fleetWatch->poll();
    }
    m_poller->poll(m_config.current()->parsed, m_fleet, m_rosterKeeper.recentMembers(now));
    m_usageWritten = m_usageBatcher.idle();
}

// Usage windows follow the wall clock: window N covers the seconds from N times the window length on.
window_clock node::usageWindow() const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto current = static_cast<std::uint64_t>(seconds) / m_settings.usageWindowSeconds;
    const auto graceEnd = static_cast<std::uint64_t>(seconds) - m_settings.usageGraceSeconds;
    return {.current = current, .firstNotClosable = graceEnd / m_settings.usageWindowSeconds};
}

// Endpoint reports reach the order machine, which waits for drained endpoints and for the effect of its orders.
void node::passReports(instant now)
{
    for (const auto &report : m_endpoints.reports(now)) {
        if (const auto settings = m_fleet.find(report.endpoint); settings != m_fleet.end()) {
            const auto age = fromMs(report.ageMs);
            m_orderKeeper.noteReport(report, now - age, settings->second.checksFencing);
        }
    }
}

// Brings the endpoint table in line with the configuration and the platform's list, and passes notices on.
void node::applyFleet()
{
    const auto config = m_config.current();
    if (config->parsed.version == 0) {
        return;
    }
    m_fleet = m_fleetWatch->merge(config->parsed);
    m_endpoints.configure(m_fleet);
    for (const auto &endpoint : m_fleetWatch->leaving()) {
        m_endpoints.markLeaving(endpoint);
    }
    std::set<std::string> known;
    for (const auto &[id, settings] : m_fleet) {
        known.insert(id);
    }
    m_orderKeeper.setFleet(std::move(known));
}

void node::controlFleet(instant now)
{
    const auto config = m_config.current();
    if (config->parsed.version == 0) {
        return;
    }
    fleet_facts facts{.config = config->parsed, .endpoints = m_fleet, .reports = m_endpoints.reports(now), .demand = cellDemand(now)};
    for (const auto &lease : m_leases) {
        const bool held = !m_handingOver && lease->grant(now).has_value();
        facts.holdsOrders = facts.holdsOrders || (held && lease->duty() == "orders");
        facts.holdsProvision = facts.holdsProvision || (held && lease->duty() == "provision");
    }
    m_fleetControl.tick(facts, now);
}

void node::everySecond(instant now)
{
    const auto &members = m_rosterKeeper.roster().members;
    for (auto &lease : m_leases) {
        lease->setRank(rendezvousRank(lease->duty(), m_settings.instanceId, members));
    }
    m_claimCleaner.setDaemons(members.size());
    applyFleet();
    passReports(now);
    m_orderKeeper.noteDrainConfirmed(m_rosterKeeper.allAnsweredSince());
    controlFleet(now);
    {
        const std::lock_guard lock(m_followerMutex);
        m_follower.setRoster(members, m_settings.instanceId);
    }
    for (const auto &endpoint : m_fleetControl.retiring()) {
        m_endpoints.markDraining(endpoint, now + tunables::drainMarkTime);
    }
    if (const auto notice = m_orderKeeper.notice()) {
        m_endpoints.takeDrainNotice(*notice);
    }
    m_link->sendHeartbeats(makeHeartbeat(now));
    // Copies of a daemon that left the roster become records of this daemon, which writes them with its next batch.
    if (m_rosterKeeper.roster().version > 0) {
        const auto adopted = m_usage.adoptOrphans([&](std::string_view owner) {
            return m_rosterKeeper.roster().contains(owner);
        });
        LOG_IF(INFO, adopted > 0) << "took over usage records of daemons that left the roster: " << adopted;
    }
}

// Copies what other threads read.
void node::publish(instant now)
{
    const std::lock_guard lock(m_mutex);
    m_roster = m_rosterKeeper.roster();
    m_duties.clear();
    m_leaseStatus.clear();
    for (const auto &lease : m_leases) {
        const bool here = lease->grant(now).has_value();
        const auto &holder = lease->seenHolder();
        // The row names the holder's process; operators know daemons by their instance.
        m_leaseStatus.push_back({.duty = lease->duty(), .holder = holder.substr(0, holder.rfind('/')), .epoch = lease->seenEpoch(), .heldHere = here});
        if (here) {
            m_duties.push_back(lease->duty());
        }
    }
}

// A lease is handed over only after the last effect under it was answered.
void node::handOverLeases(instant now)
{
    if (!m_handingOver) {
        return;
    }
    if (!m_released && m_effectsInFlight == 0) {
        m_released = true;
        for (std::size_t index = 0; index < m_machines.size(); ++index) {
            if (m_machines[index].release) {
                std::vector<control_effect> effects;
                m_machines[index].release(now, effects);
                submit(index, std::move(effects));
            }
        }
    }
    if (m_released && std::ranges::all_of(m_leases, [](const auto &lease) {
            return lease->released();
        })) {
        const std::lock_guard lock(m_mutex);
        m_handedOver = true;
        m_changed.notify_all();
    }
}

void node::post(std::function<void(instant)> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    m_changed.notify_all();
}

void node::stopControl()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_controlThread.joinable()) {
        m_controlThread.join();
    }
}

}
