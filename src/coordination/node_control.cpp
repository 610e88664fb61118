#include "coordination/node.h"
#include "protocol/tunables.h"
#include "state/rendezvous.h"

#include <algorithm>
#include <glog/logging.h>
#include <httplib.h>
#include <utility>

namespace lacewinglock
{

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
        tickMachines(now);
        if (now >= nextSecond) {
            nextSecond = now + tunables::heartbeatInterval;
            everySecond(now);
        }
        publish(now);
        handOverLeases(now);
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
    const auto config = m_config.current();
    for (const auto &report : m_endpoints.reports(now)) {
        if (const auto settings = config->parsed.endpoints.find(report.endpoint); settings != config->parsed.endpoints.end()) {
            const auto age = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(report.ageMs));
            m_orderKeeper.noteReport(report, now - age, settings->second.checksFencing);
        }
    }
}

void node::everySecond(instant now)
{
    const auto &members = m_rosterKeeper.roster().members;
    for (auto &lease : m_leases) {
        lease->setRank(rendezvousRank(lease->duty(), m_settings.instanceId, members));
    }
    const auto config = m_config.current();
    m_endpoints.configure(config->parsed);
    m_poller->poll(config->parsed, members);
    passReports(now);
    {
        const std::lock_guard lock(m_followerMutex);
        m_follower.setRoster(members, m_settings.instanceId);
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
    m_epochs.clear();
    for (const auto &lease : m_leases) {
        if (const auto grant = lease->grant(now)) {
            m_duties.push_back(lease->duty());
            m_epochs[lease->duty()] = grant->epoch;
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
