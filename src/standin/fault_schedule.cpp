#include "standin/fault_schedule.h"

#include <algorithm>
#include <array>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto settleTime = 8s; // Leases and the roster form before the first fault.
constexpr auto quietTime = 30s;
constexpr std::size_t keptKeys = 8;

}

fault_schedule::fault_schedule(virtual_cell &cell)
    : m_cell(cell)
    , m_clock(cell.world().clock)
{
}

void fault_schedule::run(duration length)
{
    scheduleCalls();
    m_clock.after(settleTime, "faults begin", [this] {
        scheduleFaults();
        schedulePlans();
    });
    m_cell.runFor(length);
    m_active = false;
    m_clock.note("faults end");
    m_cell.heal();
    m_cell.platform().setDown(false);
    m_cell.platform().setSlow(0s);
    m_cell.platform().freezeInstances(false);
    for (const auto &id : m_cell.daemonIds()) {
        m_cell.daemon(id).start();
    }
    m_cell.runFor(quietTime);
}

duration fault_schedule::seconds(double low, double high)
{
    const auto convert = [](double value) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    };
    return m_clock.between(convert(low), convert(high));
}

std::string fault_schedule::anyDaemon()
{
    const auto ids = m_cell.daemonIds();
    return ids[m_clock.random(ids.size())];
}

std::string fault_schedule::anyEngine()
{
    const auto ids = m_cell.engineIds();
    return ids[m_clock.random(ids.size())];
}

void fault_schedule::scheduleCalls()
{
    virtual_cell::call_options call{.key = m_keys[m_clock.random(m_keys.size())], .tokens = 5 + m_clock.random(30), .retries = 3};
    call.retryAfter = seconds(0.05, 3);
    if (m_clock.chance(0.25)) {
        call.booking = "booking" + std::to_string(++m_bookings);
        // A caller that does not wait for its first answer sends the same booking through another daemon.
        if (m_clock.chance(0.2)) {
            m_cell.send(call);
        }
    }
    m_cell.send(call);
    m_clock.after(seconds(0.05, 0.4), "next call", [this] {
        if (m_active) {
            scheduleCalls();
        }
    });
}

void fault_schedule::scheduleFaults()
{
    if (m_active) {
        fault();
        m_clock.after(seconds(0.2, 4), "next fault", [this] {
            scheduleFaults();
        });
    }
}

void fault_schedule::schedulePlans()
{
    if (!m_active) {
        return;
    }
    if (m_clock.chance(0.6)) {
        m_cell.orderRole(anyEngine(), static_cast<endpoint_role>(m_clock.random(3)));
    } else {
        m_cell.provision("z1", 1 + static_cast<int>(m_clock.random(3)));
    }
    m_clock.after(seconds(1, 6), "next plan", [this] {
        schedulePlans();
    });
}

void fault_schedule::fault()
{
    switch (m_clock.random(8)) {
    case 0:
    case 1:
    case 2: {
        // The holders of leases are hit more often than chance would have it.
        static constexpr std::array<const char *, 4> duties = {"orders", "provision", "roster", "usage"};
        const std::string holder = m_cell.holder(duties.at(m_clock.random(duties.size())));
        daemonFault(holder.empty() || m_clock.chance(0.5) ? anyDaemon() : holder);
        break;
    }
    case 3:
        networkFault();
        break;
    case 4:
        storeFault();
        break;
    case 5:
        endpointFault();
        break;
    default:
        operatorAction();
        break;
    }
}

void fault_schedule::daemonFault(const std::string &id)
{
    switch (m_clock.random(4)) {
    case 0:
        m_cell.daemon(id).kill();
        break;
    case 1:
        m_cell.daemon(id).shutDown();
        break;
    case 2:
        m_cell.daemon(id).stallOrders(seconds(1, 12));
        m_cell.daemon(id).pause(seconds(0.1, 1));
        return;
    default:
        m_cell.daemon(id).pause(seconds(0.5, 15));
        return;
    }
    m_clock.after(seconds(1, 20), id + " is started again", [this, id] {
        m_cell.daemon(id).start();
    });
}

void fault_schedule::networkFault()
{
    const auto ids = m_cell.daemonIds();
    std::vector<std::string> left;
    std::vector<std::string> right;
    for (const auto &id : ids) {
        (m_clock.chance(0.4) ? left : right).push_back(id);
    }
    if (m_clock.chance(0.5)) {
        m_cell.partition(left, right);
    }
    if (m_clock.chance(0.5)) {
        m_cell.partition(left, {storeName});
    }
    m_clock.after(seconds(1, 15), "partition ends", [this] {
        m_cell.heal();
    });
}

void fault_schedule::storeFault()
{
    auto &platform = m_cell.platform();
    switch (m_clock.random(5)) {
    case 0:
        m_clock.note("store is down");
        platform.setDown(true);
        m_clock.after(seconds(0.5, 15), "store is up", [&platform] {
            platform.setDown(false);
        });
        break;
    case 1:
        m_clock.note("store is slow");
        platform.setSlow(seconds(0.5, 15));
        m_clock.after(seconds(1, 12), "store is fast", [&platform] {
            platform.setSlow(0s);
        });
        break;
    case 2:
        m_clock.note("instance list is stale");
        platform.freezeInstances(true);
        m_clock.after(seconds(5, 30), "instance list is current", [&platform] {
            platform.freezeInstances(false);
        });
        break;
    default:
        platform.loseAnswers(1 + static_cast<int>(m_clock.random(6)), m_clock.chance(0.6) ? answer_loss::AfterEffect : answer_loss::BeforeEffect);
        break;
    }
}

void fault_schedule::endpointFault()
{
    switch (m_clock.random(5)) {
    case 0:
        m_cell.endpoint(anyEngine()).crash();
        break;
    case 1:
        m_cell.endpoint(m_clock.chance(0.5) ? anyEngine() : "s1").hang(seconds(1, 14));
        break;
    case 2:
        m_cell.endpoint(anyEngine()).strayAnswers(2);
        break;
    case 3:
        m_cell.send({.poison = "poison" + std::to_string(++m_poisons), .retries = 3, .retryAfter = seconds(1, 4)});
        break;
    default:
        m_cell.reclaim("z" + std::to_string(1 + m_clock.random(3)), seconds(3, 6));
        break;
    }
}

void fault_schedule::operatorAction()
{
    const std::string fresh = "k" + std::to_string(++m_nextKey);
    if (m_clock.chance(0.4)) {
        const nlohmann::json change = {{"organisations", {{"orgk1", {{"weight", 1 + m_clock.random(9)}}}}}};
        const nlohmann::json rival = {{"organisations", {{"orgk2", {{"weight", 1 + m_clock.random(9)}}}}}};
        m_cell.patchRace(anyDaemon(), change, anyDaemon(), rival);
        return;
    }
    m_cell.grantKey(anyDaemon(), fresh);
    m_keys.push_back(fresh);
    if (m_keys.size() > keptKeys) {
        m_keys.erase(m_keys.begin());
    }
    m_cell.withdrawKey(anyDaemon(), m_keys[m_clock.random(m_keys.size())]);
}

}
