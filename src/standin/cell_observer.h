#pragma once

#include "coordination/request_session.h"
#include "protocol/control.h"
#include "standin/virtual_clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Checks the invariants that need a view of the whole cell: leases, orders, executions, responses and configuration versions. Violations are
/// reported through checkInvariant.
class cell_observer
{
public:
    explicit cell_observer(const virtual_clock &clock);

    /// Reports a violation when more than one daemon holds the lease of a duty.
    void checkLeaseHolders(const std::string &duty, const std::vector<std::string> &holders) const;
    /// Checks an order that an endpoint accepted: its epoch, if the endpoint checks fencing tokens, and one content per revision.
    void recordAcceptedOrder(const endpoint_order &order, bool checksFencing);
    /// Reports a stream that an order ended; endpoints must be drained before they receive an order.
    void reportStreamCutByOrder(const std::string &requestId, const std::string &endpoint) const;
    /// Checks that epochs of provision orders never decrease and that a token always has the same content.
    void recordProvisionOrder(const provision_order &order);
    /// Checks that epochs of usage reports never decrease and that a window is always reported with the same figures.
    void recordUsageReport(const usage_report &report);

    /// Records that an endpoint began to run a request. `leavingSince` is the virtual time of the endpoint's reclaim notice, if it received one.
    void recordRequestStart(const std::string &requestId, const std::string &endpoint, std::optional<instant> leavingSince);
    /// Reports a violation at the second execution with the same idempotency key.
    void recordBookingExecution(const std::string &idempotencyKey);
    /// Checks that a request that was refused as not run did not run before and does not run later.
    void recordRefusal(const std::string &requestId, run_state state);
    void checkToken(const std::string &requestId, std::uint64_t index, const std::string &text, const std::string &expected) const;
    void checkCompletion(const std::string &requestId, std::uint64_t delivered, std::uint64_t expected) const;

    /// Checks that an admission uses no withdrawn key and no outdated configuration version, with the allowed propagation delays.
    void checkAdmission(const std::string &daemon, const std::string &keyId, std::uint64_t configVersion) const;
    /// Records that a majority of the daemons holds a configuration version, and the keys that are withdrawn in it.
    void recordMajorityVersion(std::uint64_t version, const std::set<std::string> &withdrawnKeys);
    /// Checks that a daemon never installs an older version and that a version has only one document.
    void recordInstalledVersion(const std::string &daemon, std::uint64_t before, std::uint64_t version, std::uint64_t documentHash);
    /// Reports a violation when a graceful shutdown ended with open requests.
    void checkShutdown(const std::string &daemon, std::size_t openRequests) const;

    /// Number of executions with this idempotency key.
    int executions(const std::string &idempotencyKey) const;
    /// Number of distinct usage windows reported.
    std::size_t reports() const;
    /// Newest configuration version that a majority holds; 0 when there is none.
    std::uint64_t highestMajorityVersion() const;

private:
    const virtual_clock &m_clock;
    std::map<std::string, std::uint64_t> m_orderEpochs;
    std::map<std::pair<std::string, std::uint64_t>, endpoint_order> m_orders; ///< Orders by endpoint and revision.
    std::uint64_t m_provisionEpoch = 0;
    std::map<std::string, provision_order> m_provisions;
    std::uint64_t m_reportEpoch = 0;
    std::map<std::uint64_t, usage_by_organisation> m_reports;
    std::set<std::string> m_startedRequests;
    std::set<std::string> m_refusedNotRun;
    std::map<std::string, int> m_bookingExecutions;
    std::map<std::string, instant> m_withdrawnKeys; ///< Time since which a majority holds the withdrawal, by key.
    std::map<std::uint64_t, instant> m_majorityVersions; ///< Time since which a majority holds a version, by version.
    std::map<std::uint64_t, std::uint64_t> m_documents; ///< Document hashes by version.
};

}
