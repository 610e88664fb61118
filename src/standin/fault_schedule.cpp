#include "standin/fault_schedule.h"

#include <algorithm>
#include <array>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto startupTime = 8s; // Leases are acquired and the roster is built before the first fault.
constexpr auto recoveryTime = 30s;
constexpr std::size_t maxKeys = 8;

}

fault_schedule::fault_schedule(virtual_cell &cell)
    : m_cell(cell)
    , m_clock(cell.world().clock)
{
}

void fault_schedule::run(duration length)
{
    scheduleCalls();
    m_clock.after(startupTime, "faults begin", [this] {
        scheduleFaults();
        schedulePlannedChanges();
    });
    m_cell.runFor(length);
    m_active = false;
    m_clock.record("faults end");
    m_cell.heal();
    m_cell.platform().setDown(false);
    m_cell.platform().setSlow(0s);
    m_cell.platform().freezeInstances(false);
    for (const auto &id : m_cell.daemonIds()) {
        m_cell.daemon(id).start();
    }
    m_cell.runFor(recoveryTime);
}

// Compilers differ in the order in which they evaluate the arguments of a call, so no call has two arguments that draw from the generator.
duration fault_schedule::randomSeconds(double low, double high)
{
    const auto convert = [](double value) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    };
    return m_clock.randomBetween(convert(low), convert(high));
}

std::string fault_schedule::randomDaemon()
{
    const auto ids = m_cell.daemonIds();
    return ids[m_clock.random(ids.size())];
}

std::string fault_schedule::randomEngine()
{
    const auto ids = m_cell.engineIds();
    return ids[m_clock.random(ids.size())];
}

void fault_schedule::scheduleCalls()
{
    virtual_cell::call_options call{.key = m_keys[m_clock.random(m_keys.size())], .tokens = 5 + m_clock.random(30), .retries = 3};
    call.retryAfter = randomSeconds(0.05, 3);
    if (m_clock.chance(0.25)) {
        call.booking = "booking" + std::to_string(++m_bookingCount);
        // Some callers send a booking twice without waiting for the first answer.
        if (m_clock.chance(0.2)) {
            m_cell.send(call);
        }
    }
    m_cell.send(call);
    m_clock.after(randomSeconds(0.05, 0.4), "next call", [this] {
        if (m_active) {
            scheduleCalls();
        }
    });
}

void fault_schedule::scheduleFaults()
{
    if (m_active) {
        injectFault();
        m_clock.after(randomSeconds(0.2, 4), "next fault", [this] {
            scheduleFaults();
        });
    }
}

void fault_schedule::schedulePlannedChanges()
{
    if (!m_active) {
        return;
    }
    if (m_clock.chance(0.6)) {
        const auto role = static_cast<endpoint_role>(m_clock.random(3));
        m_cell.orderRole(randomEngine(), role);
    } else {
        m_cell.provision("z1", 1 + static_cast<int>(m_clock.random(3)));
    }
    m_clock.after(randomSeconds(1, 6), "next plan", [this] {
        schedulePlannedChanges();
    });
}

void fault_schedule::injectFault()
{
    switch (m_clock.random(8)) {
    case 0:
    case 1:
    case 2: {
        // Selects lease holders more often than other daemons, because their faults exercise failover.
        static constexpr std::array<const char *, 4> duties = {"orders", "provision", "roster", "usage"};
        const std::string holder = m_cell.holder(duties.at(m_clock.random(duties.size())));
        injectDaemonFault(holder.empty() || m_clock.chance(0.5) ? randomDaemon() : holder);
        break;
    }
    case 3:
        injectNetworkFault();
        break;
    case 4:
        injectStoreFault();
        break;
    case 5:
        injectEndpointFault();
        break;
    default:
        runOperatorAction();
        break;
    }
}

void fault_schedule::injectDaemonFault(const std::string &id)
{
    switch (m_clock.random(4)) {
    case 0:
        m_cell.daemon(id).kill();
        break;
    case 1:
        m_cell.daemon(id).shutDown();
        break;
    case 2:
        m_cell.daemon(id).stallOrders(randomSeconds(1, 12));
        m_cell.daemon(id).pause(randomSeconds(0.1, 1));
        return;
    default:
        m_cell.daemon(id).pause(randomSeconds(0.5, 15));
        return;
    }
    m_clock.after(randomSeconds(1, 20), id + " is started again", [this, id] {
        m_cell.daemon(id).start();
    });
}

void fault_schedule::injectNetworkFault()
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
    m_clock.after(randomSeconds(1, 15), "partition ends", [this] {
        m_cell.heal();
    });
}

void fault_schedule::injectStoreFault()
{
    auto &platform = m_cell.platform();
    switch (m_clock.random(5)) {
    case 0:
        m_clock.record("store is down");
        platform.setDown(true);
        m_clock.after(randomSeconds(0.5, 15), "store is up", [&platform] {
            platform.setDown(false);
        });
        break;
    case 1:
        m_clock.record("store is slow");
        platform.setSlow(randomSeconds(0.5, 15));
        m_clock.after(randomSeconds(1, 12), "store is fast", [&platform] {
            platform.setSlow(0s);
        });
        break;
    case 2:
        m_clock.record("instance list is stale");
        platform.freezeInstances(true);
        m_clock.after(randomSeconds(5, 30), "instance list is current", [&platform] {
            platform.freezeInstances(false);
        });
        break;
    default: {
        const auto loss = m_clock.chance(0.6) ? answer_loss::AfterEffect : answer_loss::BeforeEffect;
        platform.loseAnswers(1 + static_cast<int>(m_clock.random(6)), loss);
        break;
    }
    }
}

void fault_schedule::injectEndpointFault()
{
    switch (m_clock.random(5)) {
    case 0:
        m_cell.endpoint(randomEngine()).crash();
        break;
    case 1:
        m_cell.endpoint(m_clock.chance(0.5) ? randomEngine() : "s1").hang(randomSeconds(1, 14));
        break;
    case 2:
        m_cell.endpoint(randomEngine()).sendStrayAnswers(2);
        break;
    case 3:
        m_cell.send({.poison = "poison" + std::to_string(++m_poisonCount), .retries = 3, .retryAfter = randomSeconds(1, 4)});
        break;
    default: {
        const duration notice = randomSeconds(3, 6);
        m_cell.reclaim("z" + std::to_string(1 + m_clock.random(3)), notice);
        break;
    }
    }
}

void fault_schedule::runOperatorAction()
{
    const std::string newKey = "k" + std::to_string(++m_nextKey);
    if (m_clock.chance(0.4)) {
        const nlohmann::json change = {{"organisations", {{"orgk1", {{"weight", 1 + m_clock.random(9)}}}}}};
        const nlohmann::json rival = {{"organisations", {{"orgk2", {{"weight", 1 + m_clock.random(9)}}}}}};
        const std::string rivalDaemon = randomDaemon();
        m_cell.patchRace(randomDaemon(), change, rivalDaemon, rival);
        return;
    }
    m_cell.grantKey(randomDaemon(), newKey);
    m_keys.push_back(newKey);
    if (m_keys.size() > maxKeys) {
        m_keys.erase(m_keys.begin());
    }
    const std::string oldKey = m_keys[m_clock.random(m_keys.size())];
    m_cell.withdrawKey(randomDaemon(), oldKey);
}

}
