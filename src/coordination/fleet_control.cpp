#include "coordination/fleet_control.h"

#include "coordination/fleet_planner.h"
#include "coordination/role_planner.h"
#include "protocol/decision_codec.h"
#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto decisionInterval = std::chrono::seconds(5); // Reports and demand change little faster; bounds the decision log.
constexpr double expectedChangeMs = 8000; // Draining for a few seconds and the change itself.
constexpr double expectedReacquireMs = 60000; // From an order to the first request, weights loaded.
constexpr auto shortageTime = std::chrono::seconds(60); // An order that was granted nothing is not repeated before.
constexpr auto arrivalLimit = std::chrono::seconds(120); // A granted endpoint that has not appeared by then counts as lost.
constexpr auto lostAfter = std::chrono::seconds(30); // An endpoint that was not reached for so long is replaced; restarts are shorter.
constexpr auto retireNotice = std::chrono::seconds(4); // All daemons have heard of it by two heartbeats, and what they sent has arrived.

const endpoint_report *findReport(const fleet_facts &facts, const std::string &id)
{
    const auto found = std::ranges::find(facts.reports, id, &endpoint_report::endpoint);
    return found == facts.reports.end() ? nullptr : &*found;
}

bool hasWork(const endpoint_report &report)
{
    return report.runningStreams > 0 || report.queuedPromptTokens > 0;
}

demand_rates demandOf(const fleet_facts &facts, const std::string &group)
{
    const auto found = facts.demand.find(group);
    return found == facts.demand.end() ? demand_rates{} : found->second;
}

/// Engines that a demand keeps busy.
double enginesFor(const token_demand &demand)
{
    const role_endpoint_view typical;
    return demand.promptTokensPerSecond / typical.prefillTokensPerSecond + demand.outputTokensPerSecond / typical.decodeTokensPerSecond;
}

}

fleet_control::fleet_control(order_keeper &orders, provision_keeper &provisions, record_function record)
    : m_orders(orders)
    , m_provisions(provisions)
    , m_record(std::move(record))
{
}

void fleet_control::tick(const fleet_facts &facts, instant now)
{
    noteWork(facts, now);
    if (!facts.holdsOrders) {
        m_lastRoleChange.clear();
    }
    if (!facts.holdsProvision) {
        m_retiring.clear();
        m_arriving.clear();
    }
    if (now < m_nextDecision) {
        return;
    }
    m_nextDecision = now + decisionInterval;
    noteGrants(now);
    retire(facts, now);
    for (const auto &[group, settings] : facts.config.groups) {
        if (settings.kind == route_kind::Model && facts.holdsOrders) {
            decideRoles(facts, group, now);
        }
        // Short calls of plain services do not show in samples of the load, so their endpoints would look idle.
        if (settings.kind == route_kind::Model && facts.holdsProvision && settings.maxEndpoints > 0) {
            decideProvisions(facts, group, now);
        }
    }
}

void fleet_control::noteWork(const fleet_facts &facts, instant now)
{
    const auto isGone = [&](const auto &item) {
        return !facts.endpoints.contains(item.first);
    };
    std::erase_if(m_lastWork, isGone);
    std::erase_if(m_lastReachable, isGone);
    for (const auto &[id, settings] : facts.endpoints) {
        const auto *report = findReport(facts, id);
        const auto [known, isNew] = m_lastWork.try_emplace(id, now);
        if (report == nullptr || hasWork(*report)) {
            known->second = now;
        }
        const auto reachable = m_lastReachable.try_emplace(id, now).first;
        if (report != nullptr && report->reachable) {
            reachable->second = now;
        }
    }
    std::erase_if(m_arriving, [&](const auto &item) {
        return facts.endpoints.contains(item.first) || now >= item.second + arrivalLimit;
    });
}

bool fleet_control::isLost(const std::string &endpointId, instant now) const
{
    return now - m_lastReachable.at(endpointId) > lostAfter;
}

role_input fleet_control::roleInput(const fleet_facts &facts, const std::string &group, instant now) const
{
    const auto demand = demandOf(facts, group);
    role_input input{
        .configVersion = facts.config.version,
        .group = group,
        .shortDemand = demand.shortTerm,
        .longDemand = demand.longTerm,
        .changeMs = expectedChangeMs,
        .sinceLastChangeMs = toMs(now - m_lastRoleChange.at(group)),
    };
    const auto draining = m_orders.draining();
    for (const auto &[id, settings] : facts.endpoints) {
        if (settings.group != group) {
            continue;
        }
        input.orderOpen = input.orderOpen || std::ranges::find(draining, id) != draining.end();
        if (const auto *report = findReport(facts, id)) {
            input.endpoints.push_back({.id = id,
                                       .role = report->role,
                                       .changingRole = report->changingRole,
                                       .available = report->reachable && !report->leaving && !m_retiring.contains(id),
                                       .runningStreams = report->runningStreams,
                                       .prefillTokensPerSecond = report->prefillTokensPerSecond});
        }
    }
    return input;
}

void fleet_control::decideRoles(const fleet_facts &facts, const std::string &group, instant now)
{
    m_lastRoleChange.try_emplace(group, now);
    const auto input = roleInput(facts, group, now);
    const auto result = decideRole(input);
    m_record(recordRole("role/" + group + "/" + std::to_string(++m_decisions), input, result));
    if (!result.endpoint.empty() && m_orders.propose({.endpoint = result.endpoint, .kind = order_kind::SetRole, .role = result.role})) {
        m_lastRoleChange[group] = now;
    }
}

provision_input fleet_control::provisionInput(const fleet_facts &facts, const std::string &group, instant now) const
{
    const auto demand = demandOf(facts, group);
    provision_input input{
        .configVersion = facts.config.version,
        .group = group,
        .limits = facts.config.groups.at(group),
        .demandEndpoints = std::max(enginesFor(demand.shortTerm), enginesFor(demand.longTerm)) * tunables::roleDemandHeadroom,
        .reacquireMs = expectedReacquireMs,
    };
    for (const auto &[id, settings] : facts.endpoints) {
        if (settings.group == group) {
            const auto *report = findReport(facts, id);
            input.endpoints.push_back({.id = id,
                                       .failureDomain = settings.failureDomain,
                                       .reclaimable = settings.reclaimable,
                                       .leaving = m_retiring.contains(id) || isLost(id, now) || (report != nullptr && report->leaving),
                                       .idleMs = toMs(now - m_lastWork.at(id))});
        }
    }
    for (const auto &[id, since] : m_arriving) {
        if (const auto &order = m_arrivingRow.at(id).order; order.group == group) {
            input.pending.push_back({.failureDomain = order.failureDomain, .reclaimable = order.reclaimable, .count = 1});
        }
    }
    for (const auto &domain : facts.config.failureDomains) {
        const auto known = m_shortages.find(domain);
        const auto shortage = known == m_shortages.end() ? domain_shortage{} : known->second;
        input.domains.push_back(
            {.failureDomain = domain, .reclaimableAvailable = now >= shortage.reclaimableUntil, .ordinaryAvailable = now >= shortage.ordinaryUntil});
    }
    return input;
}

/// One order at a time: the first step is proposed, and the next decision sees its effect. Endpoints to give back are drained first.
void fleet_control::decideProvisions(const fleet_facts &facts, const std::string &group, instant now)
{
    if (m_provisions.hasOpenOrder()) {
        return;
    }
    const auto input = provisionInput(facts, group, now);
    const auto result = decideProvision(input);
    m_record(recordProvision("provision/" + group + "/" + std::to_string(++m_decisions), input, result));
    for (const auto &step : result.steps) {
        if (step.count < 0) {
            for (const auto &id : step.release) {
                m_retiring.try_emplace(id, now);
            }
        } else {
            m_provisions.propose({.group = group, .failureDomain = step.failureDomain, .reclaimable = step.reclaimable, .count = step.count});
            return;
        }
    }
}

/// Looks at the last settled order: what it granted is on its way, and where it granted nothing there is a shortage.
void fleet_control::noteGrants(instant now)
{
    const auto &settled = m_provisions.lastSettled();
    if (!settled || settled->order.token == m_lastToken) {
        return;
    }
    m_lastToken = settled->order.token;
    for (const auto &id : settled->granted) {
        m_arriving[id] = now;
        m_arrivingRow[id] = *settled;
    }
    if (settled->order.count > static_cast<int>(settled->granted.size())) {
        auto &shortage = m_shortages[settled->order.failureDomain];
        (settled->order.reclaimable ? shortage.reclaimableUntil : shortage.ordinaryUntil) = now + shortageTime;
    }
}

/// Gives one retiring endpoint back once no daemon sends it work any more and it has none left.
void fleet_control::retire(const fleet_facts &facts, instant now)
{
    std::erase_if(m_retiring, [&](const auto &item) {
        return !facts.endpoints.contains(item.first);
    });
    for (const auto &[id, since] : m_retiring) {
        const auto *report = findReport(facts, id);
        const bool reportedSince = report != nullptr && now - fromMs(report->ageMs) >= since + retireNotice;
        if (!reportedSince || hasWork(*report)) {
            continue;
        }
        const auto &settings = facts.endpoints.at(id);
        if (m_provisions.propose(
                {.group = settings.group, .failureDomain = settings.failureDomain, .reclaimable = settings.reclaimable, .count = -1, .release = {id}})) {
            return;
        }
    }
}

std::vector<std::string> fleet_control::retiring() const
{
    std::vector<std::string> ids;
    for (const auto &[id, since] : m_retiring) {
        ids.push_back(id);
    }
    return ids;
}

}
