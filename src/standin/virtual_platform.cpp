#include "standin/virtual_platform.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto instanceListDelay = 4s;
constexpr duration minLatency = 1ms;
constexpr duration maxLatency = 12ms;

bool writesKeyWithPrefix(const transaction &change, std::string_view prefix)
{
    return std::ranges::any_of(change.writes, [&](const row_write &write) {
        return write.key.starts_with(prefix);
    });
}

bool conditionsDisabled(const transaction &change, broken_mechanism broken)
{
    switch (broken) {
    case broken_mechanism::ClaimCondition:
        return writesKeyWithPrefix(change, "claim/");
    case broken_mechanism::FreezeCondition:
        return writesKeyWithPrefix(change, "window/");
    case broken_mechanism::LeaseCondition:
        return writesKeyWithPrefix(change, "lease/");
    case broken_mechanism::ConfigCondition:
        return writesKeyWithPrefix(change, "config/");
    default:
        return false;
    }
}

}

virtual_platform::virtual_platform(virtual_world &world)
    : m_world(world)
{
}

duration virtual_platform::randomLatency()
{
    return m_maxSlowLatency > 0s ? m_world.clock.randomBetween(maxLatency, m_maxSlowLatency) : m_world.clock.randomBetween(minLatency, maxLatency);
}

bool virtual_platform::reachable(const std::string &client) const
{
    return !m_down && m_world.reaches(client, storeName);
}

// A read fails after a short delay when the store is down, and after the timeout when the store is unreachable or the answer would be late.
void virtual_platform::read(const std::string &client, const std::string &key, const std::function<void(absl::StatusOr<std::optional<row>>)> &done)
{
    const duration requestLatency = randomLatency();
    const duration responseLatency = randomLatency();
    if (!reachable(client) || requestLatency + responseLatency > tunables::storeTimeout) {
        const duration wait = m_down ? requestLatency : duration(tunables::storeTimeout);
        m_world.clock.after(std::min<duration>(wait, tunables::storeTimeout), client + " read failed", [done] {
            done(absl::UnavailableError("table service is down"));
        });
        return;
    }
    m_world.clock.after(requestLatency, client + " reads " + key, [this, responseLatency, client, key, done] {
        m_world.clock.after(responseLatency, client + " has read", [done, result = m_table.read(key)] {
            done(result);
        });
    });
}

void virtual_platform::scan(const std::string &client, const std::string &prefix, const std::function<void(absl::StatusOr<std::vector<row>>)> &done)
{
    if (!reachable(client)) {
        m_world.clock.after(tunables::storeTimeout, client + " scan failed", [done] {
            done(absl::UnavailableError("table service is down"));
        });
        return;
    }
    m_world.clock.after(randomLatency(), client + " scans " + prefix, [this, client, prefix, done] {
        const auto rows = *m_table.scan(prefix, 1000, {});
        m_world.clock.after(randomLatency(), client + " has scanned", [done, rows] {
            done(rows);
        });
    });
}

commit_outcome virtual_platform::commitNow(const std::string &client, const transaction &change)
{
    if (!reachable(client)) {
        return commit_outcome::Unavailable;
    }
    std::optional<answer_loss> loss;
    if (!m_pendingAnswerLosses.empty()) {
        loss = m_pendingAnswerLosses.front();
        m_pendingAnswerLosses.pop_front();
        m_world.clock.record("store loses its answer to " + client + " for " + change.writes.front().key
                             + (*loss == answer_loss::AfterEffect ? " after its effect" : " before its effect"));
    }
    if (loss == answer_loss::BeforeEffect) {
        return commit_outcome::Unknown;
    }
    transaction applied = change;
    if (conditionsDisabled(change, m_world.broken)) {
        applied.conditions.clear();
    }
    const auto outcome = m_table.commit(applied);
    return loss ? commit_outcome::Unknown : outcome;
}

// A slow commit may take effect after the client's timeout.
void virtual_platform::commit(const std::string &client, const transaction &change, const std::function<void(commit_outcome)> &done)
{
    const duration requestLatency = randomLatency();
    const duration responseLatency = randomLatency();
    if (!reachable(client)) {
        m_world.clock.after(requestLatency, client + " commit failed", [done] {
            done(commit_outcome::Unavailable);
        });
        return;
    }
    const bool late = requestLatency + responseLatency > tunables::storeTimeout;
    if (late) {
        m_world.clock.after(tunables::storeTimeout, client + " gives up", [done] {
            done(commit_outcome::Unknown);
        });
    }
    // Delivers commits of usage windows a second time; their conditions must prevent a second effect.
    if (writesKeyWithPrefix(change, "window/")) {
        m_world.clock.after(requestLatency + m_world.clock.randomBetween(3s, 9s), client + " commit arrives again", [this, client, change] {
            commitNow(client, change);
        });
    }
    m_world.clock.after(requestLatency, client + " commits " + change.writes.front().key, [this, client, change, done, late, responseLatency] {
        const auto outcome = commitNow(client, change);
        if (!late) {
            const duration wait = outcome == commit_outcome::Unknown ? duration(tunables::storeTimeout) : responseLatency;
            m_world.clock.after(wait, client + " has committed", [done, outcome] {
                done(outcome);
            });
        }
    });
}

void virtual_platform::order(const std::string &client, const provision_order &order, const std::function<void(delivery_event)> &done)
{
    if (!m_world.reaches(client, storeName)) {
        m_world.clock.after(tunables::orderSendDeadline, client + " order not sent", [done] {
            done({.outcome = delivery_outcome::NotSent});
        });
        return;
    }
    m_world.clock.after(m_world.clock.randomBetween(minLatency, 900ms), client + " provision order", [this, client, order, done] {
        m_world.observer.recordProvisionOrder(order);
        m_world.clock.record(client + " orders " + std::to_string(order.count) + " endpoints, " + order.token + ", epoch " + std::to_string(order.epoch));
        auto &granted = m_endpointsByToken[order.token];
        for (int number = static_cast<int>(granted.size()); number < order.count; ++number) {
            granted.push_back(order.token + "-" + std::to_string(number));
        }
        const bool lost = m_world.clock.chance(0.2);
        m_world.clock.after(randomLatency(), client + " provision answer", [done, lost, granted] {
            done({.outcome = lost ? delivery_outcome::Unknown : delivery_outcome::Accepted, .endpoints = granted});
        });
    });
}

void virtual_platform::report(const std::string &client, const usage_report &report, const std::function<void(delivery_outcome)> &done)
{
    if (!m_world.reaches(client, storeName)) {
        m_world.clock.after(tunables::orderSendDeadline, client + " report not sent", [done] {
            done(delivery_outcome::NotSent);
        });
        return;
    }
    m_world.clock.after(m_world.clock.randomBetween(minLatency, 900ms), client + " usage report", [this, client, report, done] {
        m_world.observer.recordUsageReport(report);
        m_world.clock.record(client + " reports window " + std::to_string(report.window) + ", epoch " + std::to_string(report.epoch));
        const bool lost = m_world.clock.chance(0.2);
        m_world.clock.after(randomLatency(), client + " report answer", [done, lost] {
            done(lost ? delivery_outcome::Unknown : delivery_outcome::Accepted);
        });
    });
}

memory_table &virtual_platform::table()
{
    return m_table;
}

void virtual_platform::setDown(bool down)
{
    m_down = down;
}

void virtual_platform::setSlow(duration longest)
{
    m_maxSlowLatency = longest;
}

void virtual_platform::loseAnswers(int count, answer_loss loss)
{
    m_pendingAnswerLosses.insert(m_pendingAnswerLosses.end(), static_cast<std::size_t>(count), loss);
}

void virtual_platform::setInstance(const instance_info &info)
{
    m_liveInstances[info.id] = info;
    scheduleInstanceListUpdate();
}

void virtual_platform::removeInstance(const std::string &id)
{
    m_liveInstances.erase(id);
    scheduleInstanceListUpdate();
}

void virtual_platform::scheduleInstanceListUpdate()
{
    std::vector<instance_info> list;
    for (const auto &[id, info] : m_liveInstances) {
        list.push_back(info);
    }
    m_world.clock.after(m_listedInstances.empty() ? duration(0) : duration(instanceListDelay), "instance list", [this, list] {
        if (!m_instancesFrozen) {
            m_listedInstances = list;
        }
    });
}

void virtual_platform::freezeInstances(bool frozen)
{
    m_instancesFrozen = frozen;
    if (!frozen) {
        scheduleInstanceListUpdate();
    }
}

std::vector<instance_info> virtual_platform::instances() const
{
    return m_listedInstances;
}

}
