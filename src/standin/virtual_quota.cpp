#include "standin/virtual_quota.h"

#include "serving/limit_share.h"
#include "serving/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto tick = 65ms; // Between two summaries of a daemon.
constexpr auto minSumsInterval = 250ms;
constexpr auto maxSumsInterval = 2s;
constexpr double minDelayMs = 30;
constexpr double maxDelayMs = 300;
constexpr auto timeout = 1s; // A daemon that is not heard for so long is dropped.
constexpr auto rowLifetime = 5s;
constexpr double maxConfigDelayMs = 2000;
constexpr double ruleWindowS = 8;
constexpr double ruleFactor = 1.1;
constexpr double ruleFromS = 3; // After the acknowledgement of a lowered limit.
constexpr double smallPart = 0.75;
constexpr auto retryInterval = 50ms; // Of a request that waits.
constexpr auto maxWait = 300ms;
constexpr const char *organisation = "organisation";

struct virtual_quota_daemon
{
    quota_ledger ledger;
    shared_sums sums;
    quota_limits limits;
    double configDelayMs = 0;
    instant nextTick;
    instant sumsSentAt;
    quota_flow delivered; ///< Own sums that arrived at the others.
    instant heardAt; ///< Last summary that arrived.
    bool killed = false;
    bool minority = false; ///< One of the third that is killed, frozen or cut off.
    double usedSlotMs = 0;
};

struct delivery
{
    instant at;
    std::size_t sender = 0;
    std::optional<quota_flow> flow; ///< Nothing: a summary without sums.

    bool operator>(const delivery &other) const
    {
        return at > other.at;
    }
};

struct pending_request
{
    instant at; ///< Of the next decision.
    std::size_t daemon = 0;
    double cost = 1;
    instant arrivedAt;
    bool returned = false;

    bool operator>(const pending_request &other) const
    {
        return at > other.at;
    }
};

template <typename T>
using timeline = std::priority_queue<T, std::vector<T>, std::greater<>>;

class quota_run
{
public:
    explicit quota_run(const quota_scenario &scenario);
    quota_outcome run();

private:
    instant at(double seconds) const
    {
        return m_begin + fromMs(seconds * 1000);
    }
    double now() const
    {
        return toMs(m_now - m_begin) / 1000;
    }
    bool runs(const virtual_quota_daemon &daemon) const
    {
        return !daemon.killed && !(m_scenario.freeze && daemon.minority && m_scenario.freeze->contains(now()));
    }
    bool isSplit() const
    {
        return m_scenario.partition && m_scenario.partition->contains(now());
    }
    double demandFactor() const;
    void refresh(std::size_t index);
    void restart();
    bool takeSlot(std::size_t index, const quota_limits &limits);
    quota_fleet view(std::size_t index);
    void deliver();
    void decide(const pending_request &request);
    void scheduleArrival();
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    double worstWindow() const;

    const quota_scenario &m_scenario;
    instant m_begin{1000s};
    instant m_now = m_begin;
    std::mt19937_64 m_random;
    std::vector<virtual_quota_daemon> m_daemons;
    timeline<delivery> m_deliveries;
    timeline<pending_request> m_requests;
    bool m_restarted = false;
    double m_meanCost = 1;
    std::vector<std::pair<double, double>> m_admitted; ///< Time and cost.
    double m_offeredUnits = 0;
    double m_admittedUnits = 0;
    double m_admittedCount = 0;
    double m_waitedCount = 0;
    double m_returnedCount = 0;
    double m_servedOnReturn = 0;
};

quota_run::quota_run(const quota_scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    const bool tokens = scenario.limits.unit == quota_unit::Tokens;
    m_meanCost = tokens ? smallPart * scenario.smallCost + (1 - smallPart) * scenario.largeCost : 1;
    for (std::size_t i = 0; i < scenario.daemons; ++i) {
        m_daemons.push_back({.ledger = quota_ledger(8s, m_random(), m_begin),
                             .limits = scenario.limits,
                             .configDelayMs = uniform() * maxConfigDelayMs,
                             .nextTick = m_begin + fromMs(uniform() * toMs(tick)),
                             .sumsSentAt = m_begin,
                             .heardAt = m_begin,
                             .minority = i % 3 == 2});
    }
}

double quota_run::demandFactor() const
{
    if (!m_scenario.jump || !m_scenario.jump->contains(now())) {
        return 1;
    }
    const double risen = m_scenario.rampS > 0 ? std::min(1.0, (now() - m_scenario.jump->fromS) / m_scenario.rampS) : 1;
    return 1 + (m_scenario.jumpFactor - 1) * risen;
}

void quota_run::scheduleArrival()
{
    // The highest rate; arrivals beyond the present one are dropped.
    const double highest = m_scenario.jump ? m_scenario.jumpFactor : 1;
    const double perSecond = m_scenario.demand * m_scenario.limits.ratePerSecond / m_meanCost * highest;
    const double pause = std::exponential_distribution<double>(perSecond)(m_random);
    const bool tokens = m_scenario.limits.unit == quota_unit::Tokens;
    const double cost = tokens ? (uniform() < smallPart ? m_scenario.smallCost : m_scenario.largeCost) : 1;
    const std::size_t callers = m_scenario.callersAt > 0 ? m_scenario.callersAt : m_daemons.size();
    const instant arrival = m_now + fromMs(pause * 1000);
    m_requests.push({arrival, m_random() % callers, cost, arrival});
}

void quota_run::deliver()
{
    while (!m_deliveries.empty() && m_deliveries.top().at <= m_now) {
        const auto &next = m_deliveries.top();
        auto &sender = m_daemons[next.sender];
        sender.heardAt = std::max(sender.heardAt, m_now);
        if (next.flow) {
            sender.delivered = *next.flow;
        }
        m_deliveries.pop();
    }
}

// Sets the sums of the others at a daemon and returns which members it hears.
quota_fleet quota_run::view(std::size_t index)
{
    auto &self = m_daemons[index];
    quota_fleet fleet{.daemons = 0, .heard = 0, .ageMs = 0};
    quota_flow others;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        const auto &daemon = m_daemons[i];
        const bool listed = !daemon.killed || now() < m_scenario.killAtS.value_or(0) + toMs(rowLifetime) / 1000;
        fleet.daemons += listed ? 1 : 0;
        if (i == index) {
            fleet.heard += 1;
            continue;
        }
        const bool cut = isSplit() && daemon.minority != self.minority;
        const instant heardAt = cut ? std::min(daemon.heardAt, at(m_scenario.partition->fromS)) : daemon.heardAt;
        if (m_now - heardAt > timeout || m_scenario.way == quota_way::EqualShares) {
            continue;
        }
        fleet.heard += 1;
        fleet.ageMs = std::max(fleet.ageMs, toMs(m_now - heardAt));
        others.used += daemon.delivered.used;
        others.refused += daemon.delivered.refused;
    }
    self.sums.setOthers({sumKey(sum_purpose::QuotaUse, organisation), others.used});
    self.sums.setOthers({sumKey(sum_purpose::QuotaDemand, organisation), others.refused});
    return fleet;
}

void quota_run::refresh(std::size_t index)
{
    auto &daemon = m_daemons[index];
    daemon.ledger.refresh(daemon.sums, view(index), m_now);
    const auto age = m_now - daemon.sumsSentAt;
    delivery message{.at = m_now + fromMs(minDelayMs + uniform() * (maxDelayMs - minDelayMs)), .sender = index};
    if (age >= maxSumsInterval || (age >= minSumsInterval && daemon.sums.hasChanged())) {
        daemon.sumsSentAt = m_now;
        daemon.sums.toPublish(64);
        message.flow = quota_flow{daemon.sums.published(sumKey(sum_purpose::QuotaUse, organisation)),
                                  daemon.sums.published(sumKey(sum_purpose::QuotaDemand, organisation))};
    }
    if (uniform() >= m_scenario.lostSums) {
        m_deliveries.push(message);
    }
}

bool quota_run::takeSlot(std::size_t index, const quota_limits &limits)
{
    auto &daemon = m_daemons[index];
    const limit_share share{.perSecond = limits.ratePerSecond / m_meanCost, .daemons = m_daemons.size(), .rank = index};
    const double nowMs = toMs(m_now.time_since_epoch());
    const double slot = nextFreeSlotMs(share, daemon.usedSlotMs, nowMs);
    if (slot > nowMs) {
        return false;
    }
    daemon.usedSlotMs = slot;
    return true;
}

void quota_run::restart()
{
    for (auto &daemon : m_daemons) {
        daemon.ledger = quota_ledger(8s, m_random(), m_now);
        daemon.sums = {};
        daemon.delivered = {};
    }
    m_deliveries = {};
}

void quota_run::decide(const pending_request &request)
{
    auto &daemon = m_daemons[request.daemon];
    const bool first = request.at == request.arrivedAt;
    const bool measured = m_scenario.measured.contains(toMs(request.arrivedAt - m_begin) / 1000);
    if (first && request.returned) {
        m_returnedCount += 1;
    } else if (first) {
        scheduleArrival();
        const double highest = m_scenario.jump ? m_scenario.jumpFactor : 1;
        if (uniform() * highest > demandFactor() || !runs(daemon)) {
            return;
        }
        m_offeredUnits += measured ? request.cost : 0;
    } else if (!runs(daemon)) {
        return;
    }
    auto limits = m_scenario.limits;
    if (m_scenario.limitsAtS && now() >= *m_scenario.limitsAtS + daemon.configDelayMs / 1000) {
        limits.ratePerSecond *= m_scenario.limitsFactor;
        limits.burst *= m_scenario.limitsFactor;
    }
    const auto decision = m_scenario.way == quota_way::Slots
        ? quota_decision{.admitted = takeSlot(request.daemon, limits)}
        : daemon.ledger.admit(organisation, limits, request.cost, view(request.daemon), daemon.sums, m_now);
    if (decision.admitted) {
        m_admitted.emplace_back(now(), request.cost);
        m_servedOnReturn += request.returned ? 1 : 0;
        if (measured) {
            m_admittedUnits += request.cost;
            ++m_admittedCount;
            m_waitedCount += first ? 0 : 1;
        }
    } else if (decision.mayWait && m_now - request.arrivedAt < maxWait) {
        m_requests.push({m_now + retryInterval, request.daemon, request.cost, request.arrivedAt, request.returned});
    } else {
        daemon.ledger.noteRefusal(organisation, request.cost, decision.retryAfterMs, m_now);
        if (m_scenario.returns && !request.returned) {
            const instant back = m_now + fromMs(decision.retryAfterMs);
            m_requests.push({back, m_random() % m_daemons.size(), request.cost, back, true});
        }
    }
}

double quota_run::worstWindow() const
{
    const auto allowedBy = [&](double factor) {
        const auto &limits = m_scenario.limits;
        return (limits.ratePerSecond * ruleWindowS + limits.burst) * factor * ruleFactor + quotaAllowance(limits, m_scenario.daemons);
    };
    double worst = 0;
    double sum = 0;
    std::size_t begin = 0;
    for (std::size_t i = 0; i < m_admitted.size(); ++i) {
        sum += m_admitted[i].second;
        while (m_admitted[begin].first <= m_admitted[i].first - ruleWindowS) {
            sum -= m_admitted[begin++].second;
        }
        // A window that begins before the new limit must hold keeps to the larger one.
        const double windowFrom = std::max(0.0, m_admitted[i].first - ruleWindowS);
        const bool changed = m_scenario.limitsAtS && windowFrom >= *m_scenario.limitsAtS + ruleFromS;
        const double factor = changed ? m_scenario.limitsFactor : m_scenario.limitsAtS ? std::max(1.0, m_scenario.limitsFactor) : 1;
        worst = std::max(worst, sum / allowedBy(factor));
    }
    return worst;
}

quota_outcome quota_run::run()
{
    timeline<std::pair<instant, std::size_t>> ticks;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        ticks.emplace(m_daemons[i].nextTick, i);
    }
    scheduleArrival();
    while (now() < m_scenario.seconds) {
        const bool isTick = ticks.top().first < m_requests.top().at;
        m_now = isTick ? ticks.top().first : m_requests.top().at;
        deliver();
        if (m_scenario.restartAtS && !m_restarted && now() >= *m_scenario.restartAtS) {
            m_restarted = true;
            restart();
        }
        if (m_scenario.killAtS && now() >= *m_scenario.killAtS) {
            for (auto &daemon : m_daemons) {
                daemon.killed = daemon.killed || daemon.minority;
            }
        }
        if (isTick) {
            const auto index = ticks.top().second;
            ticks.pop();
            if (runs(m_daemons[index])) {
                refresh(index);
            }
            ticks.emplace(m_now + tick, index);
        } else {
            const auto request = m_requests.top();
            m_requests.pop();
            decide(request);
        }
    }
    const double measuredS = m_scenario.measured.toS - m_scenario.measured.fromS;
    return {.worst = worstWindow(),
            .used = m_admittedUnits / (m_scenario.limits.ratePerSecond * measuredS),
            .served = m_offeredUnits > 0 ? m_admittedUnits / m_offeredUnits : 1,
            .waited = m_admittedCount > 0 ? m_waitedCount / m_admittedCount : 0,
            .servedOnReturn = m_returnedCount > 0 ? m_servedOnReturn / m_returnedCount : 0};
}

}

quota_outcome runQuota(const quota_scenario &scenario)
{
    return quota_run(scenario).run();
}

}
