#include "standin/cell_observer.h"

#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto freshnessSlack = 1500ms; // Covers the delay of a heartbeat and of a poll in addition to the freshness window.
constexpr auto majorityVersionLimit = 4s; // Target of docs/design.md, section 2: later than this, no daemon may admit by an older version.

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

void cell_observer::checkLeaseHolders(const std::string &duty, const std::vector<std::string> &holders) const
{
    if (holders.size() > 1) {
        checkInvariant(false, invariantOfDuty(duty), "lease " + duty + " held by " + holders[0] + " and " + holders[1]);
    }
}

void cell_observer::recordAcceptedOrder(const endpoint_order &order, bool checksFencing)
{
    auto &epoch = m_orderEpochs[order.endpoint];
    checkInvariant(!checksFencing || order.epoch >= epoch, invariant::NoOrderWithoutAuthority, order.endpoint + " took an order with an old epoch");
    epoch = std::max(epoch, order.epoch);
    const auto [existing, added] = m_orders.try_emplace({order.endpoint, order.revision}, order);
    checkInvariant(added || sameContent(existing->second, order), invariant::NoConflictingOrders, order.endpoint + " got two contents with one revision");
}

void cell_observer::reportStreamCutByOrder(const std::string &requestId, const std::string &endpoint) const
{
    checkInvariant(false, invariant::NoRequestLostToPlannedChange, "an order cut " + requestId + " at " + endpoint);
}

void cell_observer::recordProvisionOrder(const provision_order &order)
{
    checkInvariant(order.epoch >= m_provisionEpoch, invariant::SingleProvisioner, "the platform got an order of an earlier holder: " + order.token);
    m_provisionEpoch = std::max(m_provisionEpoch, order.epoch);
    const auto [existing, added] = m_provisions.try_emplace(order.token, order);
    checkInvariant(added || (existing->second.count == order.count && existing->second.failureDomain == order.failureDomain),
                   invariant::SingleProvisioner,
                   "provision token with two contents: " + order.token);
}

void cell_observer::recordUsageReport(const usage_report &report)
{
    checkInvariant(report.epoch >= m_reportEpoch, invariant::SingleWindowReport, "report of an earlier holder for window " + std::to_string(report.window));
    m_reportEpoch = std::max(m_reportEpoch, report.epoch);
    const auto [existing, added] = m_reports.try_emplace(report.window, report.figures);
    checkInvariant(added || existing->second == report.figures, invariant::SingleWindowReport, "two figures for window " + std::to_string(report.window));
}

void cell_observer::recordRequestStart(const std::string &requestId, const std::string &endpoint, std::optional<instant> leavingSince)
{
    checkInvariant(!leavingSince || m_clock.now() <= *leavingSince + tunables::leavingNoticeLimit,
                   invariant::NoWorkForLeaving,
                   requestId + " was sent to leaving endpoint " + endpoint);
    checkInvariant(!m_refusedNotRun.contains(requestId), invariant::NotRunIsTrue, requestId + " ran after the answer not_run");
    m_startedRequests.insert(requestId);
}

void cell_observer::recordBookingExecution(const std::string &idempotencyKey)
{
    const int count = ++m_bookingExecutions[idempotencyKey];
    checkInvariant(count == 1, invariant::AtMostOnce, "booking executed again: " + idempotencyKey);
}

void cell_observer::recordRefusal(const std::string &requestId, run_state state)
{
    checkInvariant(state != run_state::NotRun || !m_startedRequests.contains(requestId), invariant::NotRunIsTrue, requestId + " ran and was answered not_run");
    if (state == run_state::NotRun) {
        m_refusedNotRun.insert(requestId);
    }
}

void cell_observer::checkToken(const std::string &requestId, std::uint64_t index, const std::string &text, const std::string &expected) const
{
    checkInvariant(text == expected, invariant::CompleteOwnResponse, requestId + " got a wrong token at index " + std::to_string(index));
}

void cell_observer::checkCompletion(const std::string &requestId, std::uint64_t delivered, std::uint64_t expected) const
{
    checkInvariant(delivered == expected, invariant::CompleteOwnResponse, requestId + " finished after " + std::to_string(delivered) + " tokens");
}

void cell_observer::checkAdmission(const std::string &daemon, const std::string &keyId, std::uint64_t configVersion) const
{
    if (const auto found = m_withdrawnKeys.find(keyId); found != m_withdrawnKeys.end()) {
        checkInvariant(m_clock.now() <= found->second + tunables::freshnessWindow + freshnessSlack,
                       invariant::KeyDecidesOrganisation,
                       daemon + " admitted withdrawn key " + keyId);
    }
    for (const auto &[version, since] : m_majorityVersions) {
        checkInvariant(configVersion >= version || m_clock.now() <= since + majorityVersionLimit,
                       invariant::ConfigurationNeverReverts,
                       daemon + " admitted by version " + std::to_string(configVersion) + " after " + std::to_string(version) + " was in force");
    }
}

void cell_observer::recordMajorityVersion(std::uint64_t version, const std::set<std::string> &withdrawnKeys)
{
    if (!m_majorityVersions.try_emplace(version, m_clock.now()).second) {
        return;
    }
    std::erase_if(m_withdrawnKeys, [&](const auto &item) {
        return !withdrawnKeys.contains(item.first);
    });
    for (const auto &key : withdrawnKeys) {
        m_withdrawnKeys.try_emplace(key, m_clock.now());
    }
}

void cell_observer::recordInstalledVersion(const std::string &daemon, std::uint64_t before, std::uint64_t version, std::uint64_t documentHash)
{
    checkInvariant(version >= before, invariant::ConfigurationNeverReverts, daemon + " went back to version " + std::to_string(version));
    const auto [existing, added] = m_documents.try_emplace(version, documentHash);
    checkInvariant(added || existing->second == documentHash, invariant::ConfigurationNeverReverts, "two documents with version " + std::to_string(version));
}

void cell_observer::checkShutdown(const std::string &daemon, std::size_t openRequests) const
{
    checkInvariant(openRequests == 0, invariant::GracefulShutdown, daemon + " stopped with " + std::to_string(openRequests) + " open requests");
}

int cell_observer::executions(const std::string &idempotencyKey) const
{
    const auto found = m_bookingExecutions.find(idempotencyKey);
    return found == m_bookingExecutions.end() ? 0 : found->second;
}

std::size_t cell_observer::reports() const
{
    return m_reports.size();
}

std::uint64_t cell_observer::highestMajorityVersion() const
{
    return m_majorityVersions.empty() ? 0 : m_majorityVersions.rbegin()->first;
}

}
