#include "standin/cell_observer.h"

#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto freshnessSlack = 1500ms; // Time of a heartbeat and a poll on top of the freshness window.
constexpr auto inForceLimit = 4s; // Target of docs/design.md, section 2.

invariant invariantOfDuty(const std::string &duty)
{
    if (duty == "provision") {
        return invariant::SingleProvisioner;
    }
    return duty == "usage" ? invariant::SingleWindowReport : invariant::NoOrderWithoutAuthority;
}

bool sameContent(const endpoint_order &left, const endpoint_order &right)
{
    return left.kind == right.kind && left.role == right.role && left.model == right.model;
}

}

cell_observer::cell_observer(const virtual_clock &clock)
    : m_clock(clock)
{
}

void cell_observer::noteHolders(const std::string &duty, const std::vector<std::string> &holders) const
{
    if (holders.size() > 1) {
        checkInvariant(false, invariantOfDuty(duty), "lease " + duty + " held by " + holders[0] + " and " + holders[1]);
    }
}

void cell_observer::noteOrderTaken(const endpoint_order &order, bool checksFencing)
{
    auto &epoch = m_orderEpochs[order.endpoint];
    checkInvariant(!checksFencing || order.epoch >= epoch, invariant::NoOrderWithoutAuthority, order.endpoint + " took an order with an old epoch");
    epoch = std::max(epoch, order.epoch);
    const auto [known, added] = m_orders.try_emplace({order.endpoint, order.revision}, order);
    checkInvariant(added || sameContent(known->second, order), invariant::NoConflictingOrders, order.endpoint + " got two contents with one revision");
}

void cell_observer::noteCutByOrder(const std::string &requestId)
{
    m_cutByOrder.insert(requestId);
}

void cell_observer::noteProvision(const provision_order &order)
{
    checkInvariant(order.epoch >= m_provisionEpoch, invariant::SingleProvisioner, "the platform got an order of an earlier holder: " + order.token);
    m_provisionEpoch = std::max(m_provisionEpoch, order.epoch);
    const auto [known, added] = m_provisions.try_emplace(order.token, order);
    checkInvariant(added || (known->second.count == order.count && known->second.failureDomain == order.failureDomain),
                   invariant::SingleProvisioner,
                   "provision token with two contents: " + order.token);
}

void cell_observer::noteReport(const usage_report &report)
{
    checkInvariant(report.epoch >= m_reportEpoch, invariant::SingleWindowReport, "report of an earlier holder for window " + std::to_string(report.window));
    m_reportEpoch = std::max(m_reportEpoch, report.epoch);
    const auto [known, added] = m_reports.try_emplace(report.window, report.figures);
    checkInvariant(added || known->second == report.figures, invariant::SingleWindowReport, "two figures for window " + std::to_string(report.window));
}

void cell_observer::noteWork(const std::string &requestId, const std::string &endpoint, std::optional<instant> leavingSince)
{
    checkInvariant(!leavingSince || m_clock.now() <= *leavingSince + tunables::leavingNoticeLimit,
                   invariant::NoWorkForLeaving,
                   requestId + " was sent to leaving endpoint " + endpoint);
    checkInvariant(!m_refusedNotRun.contains(requestId), invariant::TrueNotRun, requestId + " ran after the answer not_run");
    m_ran.insert(requestId);
}

void cell_observer::noteBooking(const std::string &idempotencyKey)
{
    const int count = ++m_bookings[idempotencyKey];
    checkInvariant(count == 1, invariant::AtMostOnce, "booking executed again: " + idempotencyKey);
}

void cell_observer::noteLostByFault(const std::string &requestId)
{
    m_lostByFault.insert(requestId);
}

void cell_observer::noteRefusal(const std::string &requestId, run_state state)
{
    checkInvariant(state != run_state::NotRun || !m_ran.contains(requestId), invariant::TrueNotRun, requestId + " ran and was answered not_run");
    checkInvariant(state == run_state::NotRun || !m_cutByOrder.contains(requestId) || m_lostByFault.contains(requestId),
                   invariant::NoCutByPlannedChange,
                   requestId + " was cut by an order and refused");
    if (state == run_state::NotRun) {
        m_refusedNotRun.insert(requestId);
    }
}

void cell_observer::noteToken(const std::string &requestId, std::uint64_t index, const std::string &text, const std::string &expected) const
{
    checkInvariant(text == expected, invariant::WholeOwnAnswer, requestId + " got a wrong token at index " + std::to_string(index));
}

void cell_observer::noteFinish(const std::string &requestId, std::uint64_t delivered, std::uint64_t wanted) const
{
    checkInvariant(delivered == wanted, invariant::WholeOwnAnswer, requestId + " finished after " + std::to_string(delivered) + " tokens");
}

void cell_observer::noteAdmission(const std::string &daemon, const std::string &keyId, std::uint64_t configVersion) const
{
    if (const auto found = m_withdrawnInForce.find(keyId); found != m_withdrawnInForce.end()) {
        checkInvariant(m_clock.now() <= found->second + tunables::freshnessWindow + freshnessSlack,
                       invariant::KeyDecidesOrganisation,
                       daemon + " admitted withdrawn key " + keyId);
    }
    for (const auto &[version, since] : m_inForce) {
        checkInvariant(configVersion >= version || m_clock.now() <= since + inForceLimit,
                       invariant::ConfigurationNeverReverts,
                       daemon + " admitted by version " + std::to_string(configVersion) + " after " + std::to_string(version) + " was in force");
    }
}

void cell_observer::noteInForce(std::uint64_t version, const std::set<std::string> &withdrawnKeys)
{
    if (!m_inForce.try_emplace(version, m_clock.now()).second) {
        return;
    }
    std::erase_if(m_withdrawnInForce, [&](const auto &item) {
        return !withdrawnKeys.contains(item.first);
    });
    for (const auto &key : withdrawnKeys) {
        m_withdrawnInForce.try_emplace(key, m_clock.now());
    }
}

void cell_observer::noteInstalled(const std::string &daemon, std::uint64_t before, std::uint64_t version, std::uint64_t documentHash)
{
    checkInvariant(version >= before, invariant::ConfigurationNeverReverts, daemon + " went back to version " + std::to_string(version));
    const auto [known, added] = m_documents.try_emplace(version, documentHash);
    checkInvariant(added || known->second == documentHash, invariant::ConfigurationNeverReverts, "two documents with version " + std::to_string(version));
}

void cell_observer::noteStopped(const std::string &daemon, std::size_t openRequests) const
{
    checkInvariant(openRequests == 0, invariant::GracefulShutdown, daemon + " stopped with " + std::to_string(openRequests) + " open requests");
}

int cell_observer::executions(const std::string &idempotencyKey) const
{
    const auto found = m_bookings.find(idempotencyKey);
    return found == m_bookings.end() ? 0 : found->second;
}

std::size_t cell_observer::reports() const
{
    return m_reports.size();
}

std::uint64_t cell_observer::highestInForce() const
{
    return m_inForce.empty() ? 0 : m_inForce.rbegin()->first;
}

}
