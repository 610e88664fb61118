#include "coordination/fleet_controller.h"

#include "coordination/provision_planner.h"
#include "coordination/role_planner.h"
#include "protocol/decision_codec.h"
#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto decisionInterval = std::chrono::seconds(5); // Reports and demand hardly change in less time; limits the size of the decision log.
constexpr double expectedChangeMs = 8000; // A few seconds of draining, and the change itself.
constexpr double expectedReacquireMs = 60000; // From the order to the first request, including the loading of the weights.
constexpr auto shortageRetryInterval = std::chrono::seconds(60); // An order that was not granted in full is not repeated sooner.
constexpr auto grantTimeout = std::chrono::seconds(120); // A granted endpoint that is not in the platform's list by then counts as lost.
constexpr auto unreachableLimit = std::chrono::seconds(30); // An endpoint that is unreachable for longer is replaced; restarts are shorter.
constexpr auto retireDelay
    = std::chrono::seconds(4); // By then all daemons have received the notice, in one of two heartbeats, and requests that they sent before have arrived.

const endpoint_report *findReport(const fleet_snapshot &snapshot, const std::string &id)
{
    const auto found = std::ranges::find(snapshot.reports, id, &endpoint_report::endpoint);
    return found == snapshot.reports.end() ? nullptr : &*found;
}

bool hasWork(const endpoint_report &report)
{
    return report.runningStreams > 0 || report.queuedPromptTokens > 0;
}

demand_rates demandOf(const fleet_snapshot &snapshot, const std::string &group)
{
    const auto found = snapshot.demand.find(group);
    return found == snapshot.demand.end() ? demand_rates{} : found->second;
}

/// Number of engines that a demand keeps busy.
double enginesNeeded(const token_demand &demand)
{
    const role_endpoint_view typical;
    return demand.promptTokensPerSecond / typical.prefillTokensPerSecond + demand.outputTokensPerSecond / typical.decodeTokensPerSecond;
}

}

fleet_controller::fleet_controller(order_keeper &orders, provision_keeper &provisions, record_function record)
    : m_orders(orders)
    , m_provisions(provisions)
    , m_record(std::move(record))
{
}

void fleet_controller::tick(const fleet_snapshot &snapshot, instant now)
{
    updateActivity(snapshot, now);
    if (!snapshot.holdsOrders) {
        m_lastRoleChangeAt.clear();
    }
    if (!snapshot.holdsProvision) {
        m_retiringSince.clear();
        m_granted.clear();
    }
    if (now < m_nextDecisionAt) {
        return;
    }
    m_nextDecisionAt = now + decisionInterval;
    processSettledOrder(now);
    releaseRetired(snapshot, now);
    for (const auto &[group, settings] : snapshot.config.groups) {
        if (settings.kind == route_kind::Model && snapshot.holdsOrders) {
            decideRoles(snapshot, group, now);
        }
        // Calls of plain services are too short to show in the sampled load reports, so their endpoints would look idle.
        if (settings.kind == route_kind::Model && snapshot.holdsProvision && settings.maxEndpoints > 0) {
            decideProvisions(snapshot, group, now);
        }
    }
}

void fleet_controller::updateActivity(const fleet_snapshot &snapshot, instant now)
{
    const auto isGone = [&](const auto &item) {
        return !snapshot.endpoints.contains(item.first);
    };
    std::erase_if(m_lastBusyAt, isGone);
    std::erase_if(m_lastReachableAt, isGone);
    for (const auto &[id, settings] : snapshot.endpoints) {
        const auto *report = findReport(snapshot, id);
        const auto [lastBusy, isNew] = m_lastBusyAt.try_emplace(id, now);
        if (report == nullptr || hasWork(*report)) {
            lastBusy->second = now;
        }
        const auto lastReachable = m_lastReachableAt.try_emplace(id, now).first;
        if (report != nullptr && report->reachable) {
            lastReachable->second = now;
        }
    }
    std::erase_if(m_granted, [&](const auto &item) {
        return snapshot.endpoints.contains(item.first) || now >= item.second + grantTimeout;
    });
}

bool fleet_controller::isLost(const std::string &endpointId, instant now) const
{
    return now - m_lastReachableAt.at(endpointId) > unreachableLimit;
}

role_input fleet_controller::roleInput(const fleet_snapshot &snapshot, const std::string &group, instant now) const
{
    const auto demand = demandOf(snapshot, group);
    role_input input{
        .configVersion = snapshot.config.version,
        .group = group,
        .shortDemand = demand.shortTerm,
        .longDemand = demand.longTerm,
        .changeMs = expectedChangeMs,
        .sinceLastChangeMs = toMs(now - m_lastRoleChangeAt.at(group)),
    };
    const auto draining = m_orders.draining();
    for (const auto &[id, settings] : snapshot.endpoints) {
        if (settings.group != group) {
            continue;
        }
        input.orderOpen = input.orderOpen || std::ranges::find(draining, id) != draining.end();
        if (const auto *report = findReport(snapshot, id)) {
            input.endpoints.push_back({.id = id,
                                       .role = report->role,
                                       .changingRole = report->changingRole,
                                       .available = report->reachable && !report->leaving && !m_retiringSince.contains(id),
                                       .runningStreams = report->runningStreams,
                                       .prefillTokensPerSecond = report->prefillTokensPerSecond});
        }
    }
    return input;
}

void fleet_controller::decideRoles(const fleet_snapshot &snapshot, const std::string &group, instant now)
{
    m_lastRoleChangeAt.try_emplace(group, now);
    const auto input = roleInput(snapshot, group, now);
    const auto result = decideRole(input);
    m_record(recordRole("role/" + group + "/" + std::to_string(++m_decisionCount), input, result));
    if (!result.endpoint.empty() && m_orders.propose({.endpoint = result.endpoint, .kind = order_kind::SetRole, .role = result.role})) {
        m_lastRoleChangeAt[group] = now;
    }
}

provision_input fleet_controller::provisionInput(const fleet_snapshot &snapshot, const std::string &group, instant now) const
{
    const auto demand = demandOf(snapshot, group);
    provision_input input{
        .configVersion = snapshot.config.version,
        .group = group,
        .limits = snapshot.config.groups.at(group),
        .demandEndpoints = std::max(enginesNeeded(demand.shortTerm), enginesNeeded(demand.longTerm)) * tunables::roleDemandHeadroom,
        .reacquireMs = expectedReacquireMs,
    };
    for (const auto &[id, settings] : snapshot.endpoints) {
        if (settings.group == group) {
            const auto *report = findReport(snapshot, id);
            input.endpoints.push_back({.id = id,
                                       .failureDomain = settings.failureDomain,
                                       .reclaimable = settings.reclaimable,
                                       .leaving = m_retiringSince.contains(id) || isLost(id, now) || (report != nullptr && report->leaving),
                                       .idleMs = toMs(now - m_lastBusyAt.at(id))});
        }
    }
    for (const auto &[id, since] : m_granted) {
        if (const auto &order = m_grantRows.at(id).order; order.group == group) {
            input.pending.push_back({.failureDomain = order.failureDomain, .reclaimable = order.reclaimable, .count = 1});
        }
    }
    for (const auto &domain : snapshot.config.failureDomains) {
        const auto found = m_shortages.find(domain);
        const auto shortage = found == m_shortages.end() ? domain_shortage{} : found->second;
        input.domains.push_back(
            {.failureDomain = domain, .reclaimableAvailable = now >= shortage.reclaimableUntil, .ordinaryAvailable = now >= shortage.ordinaryUntil});
    }
    return input;
}

/// Proposes only the first order of the result: the next decision sees its effect. Endpoints to release are drained first.
void fleet_controller::decideProvisions(const fleet_snapshot &snapshot, const std::string &group, instant now)
{
    if (m_provisions.hasOpenOrder()) {
        return;
    }
    const auto input = provisionInput(snapshot, group, now);
    const auto result = decideProvision(input);
    m_record(recordProvision("provision/" + group + "/" + std::to_string(++m_decisionCount), input, result));
    for (const auto &step : result.steps) {
        if (step.count < 0) {
            for (const auto &id : step.release) {
                m_retiringSince.try_emplace(id, now);
            }
        } else {
            m_provisions.propose({.group = group, .failureDomain = step.failureDomain, .reclaimable = step.reclaimable, .count = step.count});
            return;
        }
    }
}

/// Processes the last settled order once: its granted endpoints are expected in the platform's list, and an order that was not granted in full
/// marks a shortage in its failure domain.
void fleet_controller::processSettledOrder(instant now)
{
    const auto &settled = m_provisions.lastSettled();
    if (!settled || settled->order.token == m_lastSettledToken) {
        return;
    }
    m_lastSettledToken = settled->order.token;
    for (const auto &id : settled->granted) {
        m_granted[id] = now;
        m_grantRows[id] = *settled;
    }
    if (settled->order.count > static_cast<int>(settled->granted.size())) {
        auto &shortage = m_shortages[settled->order.failureDomain];
        (settled->order.reclaimable ? shortage.reclaimableUntil : shortage.ordinaryUntil) = now + shortageRetryInterval;
    }
}

/// Proposes the release of one retiring endpoint to which no daemon sends work any more and which has none left.
void fleet_controller::releaseRetired(const fleet_snapshot &snapshot, instant now)
{
    std::erase_if(m_retiringSince, [&](const auto &item) {
        return !snapshot.endpoints.contains(item.first);
    });
    for (const auto &[id, since] : m_retiringSince) {
        const auto *report = findReport(snapshot, id);
        const bool reportedAfterDelay = report != nullptr && now - fromMs(report->ageMs) >= since + retireDelay;
        if (!reportedAfterDelay || hasWork(*report)) {
            continue;
        }
        const auto &settings = snapshot.endpoints.at(id);
        if (m_provisions.propose(
                {.group = settings.group, .failureDomain = settings.failureDomain, .reclaimable = settings.reclaimable, .count = -1, .release = {id}})) {
            return;
        }
    }
}

std::vector<std::string> fleet_controller::retiring() const
{
    std::vector<std::string> ids;
    for (const auto &[id, since] : m_retiringSince) {
        ids.push_back(id);
    }
    return ids;
}

}
