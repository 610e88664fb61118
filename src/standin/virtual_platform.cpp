#include "standin/virtual_platform.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto listLag = 4s;
constexpr duration shortestTravel = 1ms;
constexpr duration longestTravel = 12ms;

bool writesBelow(const transaction &change, std::string_view prefix)
{
    return std::ranges::any_of(change.writes, [&](const row_write &write) {
        return write.key.starts_with(prefix);
    });
}

bool conditionIsBroken(const transaction &change, broken_mechanism broken)
{
    switch (broken) {
    case broken_mechanism::ClaimCondition:
        return writesBelow(change, "claim/");
    case broken_mechanism::FreezeCondition:
        return writesBelow(change, "window/");
    case broken_mechanism::LeaseCondition:
        return writesBelow(change, "lease/");
    case broken_mechanism::ConfigCondition:
        return writesBelow(change, "config/");
    default:
        return false;
    }
}

}

virtual_platform::virtual_platform(virtual_world &world)
    : m_world(world)
{
}

duration virtual_platform::travel()
{
    return m_slow > 0s ? m_world.clock.between(longestTravel, m_slow) : m_world.clock.between(shortestTravel, longestTravel);
}

bool virtual_platform::reachable(const std::string &client) const
{
    return !m_down && m_world.reaches(client, storeName);
}

// A call that does not get through fails after a short or the whole timeout; so does an answer that comes after the timeout.
void virtual_platform::read(const std::string &client, const std::string &key, const std::function<void(absl::StatusOr<std::optional<row>>)> &done)
{
    const duration there = travel();
    const duration back = travel();
    if (!reachable(client) || there + back > tunables::storeTimeout) {
        const duration wait = m_down ? there : duration(tunables::storeTimeout);
        m_world.clock.after(std::min<duration>(wait, tunables::storeTimeout), client + " read failed", [done] {
            done(absl::UnavailableError("table service is down"));
        });
        return;
    }
    m_world.clock.after(there, client + " reads " + key, [this, back, client, key, done] {
        m_world.clock.after(back, client + " has read", [done, result = m_table.read(key)] {
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
    m_world.clock.after(travel(), client + " scans " + prefix, [this, client, prefix, done] {
        const auto rows = *m_table.scan(prefix, 1000, {});
        m_world.clock.after(travel(), client + " has scanned", [done, rows] {
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
    if (!m_losses.empty()) {
        loss = m_losses.front();
        m_losses.pop_front();
        m_world.clock.note("store loses its answer to " + client + " for " + change.writes.front().key
                           + (*loss == answer_loss::AfterEffect ? " after its effect" : " before its effect"));
    }
    if (loss == answer_loss::BeforeEffect) {
        return commit_outcome::Unknown;
    }
    transaction done = change;
    if (conditionIsBroken(change, m_world.broken)) {
        done.conditions.clear();
    }
    const auto outcome = m_table.commit(done);
    return loss ? commit_outcome::Unknown : outcome;
}

// The effect of a slow commit may come after the client has given up on its answer.
void virtual_platform::commit(const std::string &client, const transaction &change, const std::function<void(commit_outcome)> &done)
{
    const duration there = travel();
    const duration back = travel();
    if (!reachable(client)) {
        m_world.clock.after(there, client + " commit failed", [done] {
            done(commit_outcome::Unavailable);
        });
        return;
    }
    const bool late = there + back > tunables::storeTimeout;
    if (late) {
        m_world.clock.after(tunables::storeTimeout, client + " gives up", [done] {
            done(commit_outcome::Unknown);
        });
    }
    // A request that arrives twice has no second effect, because of its conditions.
    if (writesBelow(change, "window/")) {
        m_world.clock.after(there + m_world.clock.between(3s, 9s), client + " commit arrives again", [this, client, change] {
            commitNow(client, change);
        });
    }
    m_world.clock.after(there, client + " commits " + change.writes.front().key, [this, client, change, done, late, back] {
        const auto outcome = commitNow(client, change);
        if (!late) {
            const duration wait = outcome == commit_outcome::Unknown ? duration(tunables::storeTimeout) : back;
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
            done({.outcome = delivery::NotSent});
        });
        return;
    }
    m_world.clock.after(m_world.clock.between(shortestTravel, 900ms), client + " provision order", [this, client, order, done] {
        m_world.observer.noteProvision(order);
        m_world.clock.note(client + " orders " + std::to_string(order.count) + " endpoints, " + order.token + ", epoch " + std::to_string(order.epoch));
        auto &granted = m_granted[order.token];
        for (int number = static_cast<int>(granted.size()); number < order.count; ++number) {
            granted.push_back(order.token + "-" + std::to_string(number));
        }
        const bool lost = m_world.clock.chance(0.2);
        m_world.clock.after(travel(), client + " provision answer", [done, lost, granted] {
            done({.outcome = lost ? delivery::Unknown : delivery::Accepted, .endpoints = granted});
        });
    });
}

void virtual_platform::report(const std::string &client, const usage_report &report, const std::function<void(delivery)> &done)
{
    if (!m_world.reaches(client, storeName)) {
        m_world.clock.after(tunables::orderSendDeadline, client + " report not sent", [done] {
            done(delivery::NotSent);
        });
        return;
    }
    m_world.clock.after(m_world.clock.between(shortestTravel, 900ms), client + " usage report", [this, client, report, done] {
        m_world.observer.noteReport(report);
        m_world.clock.note(client + " reports window " + std::to_string(report.window) + ", epoch " + std::to_string(report.epoch));
        const bool lost = m_world.clock.chance(0.2);
        m_world.clock.after(travel(), client + " report answer", [done, lost] {
            done(lost ? delivery::Unknown : delivery::Accepted);
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
    m_slow = longest;
}

void virtual_platform::loseAnswers(int count, answer_loss loss)
{
    m_losses.insert(m_losses.end(), static_cast<std::size_t>(count), loss);
}

void virtual_platform::setInstance(const instance_info &info)
{
    m_live[info.id] = info;
    recordInstances();
}

void virtual_platform::removeInstance(const std::string &id)
{
    m_live.erase(id);
    recordInstances();
}

void virtual_platform::recordInstances()
{
    std::vector<instance_info> list;
    for (const auto &[id, info] : m_live) {
        list.push_back(info);
    }
    m_world.clock.after(m_listed.empty() ? duration(0) : duration(listLag), "instance list", [this, list] {
        if (!m_instancesFrozen) {
            m_listed = list;
        }
    });
}

void virtual_platform::freezeInstances(bool frozen)
{
    m_instancesFrozen = frozen;
    if (!frozen) {
        recordInstances();
    }
}

std::vector<instance_info> virtual_platform::instances() const
{
    return m_listed;
}

}
