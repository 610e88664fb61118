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

/// Checks of the invariants that need a view of the whole cell. Each reports through checkInvariant.
class cell_observer
{
public:
    explicit cell_observer(const virtual_clock &clock);

    void noteHolders(const std::string &duty, const std::vector<std::string> &holders) const;
    void noteOrderTaken(const endpoint_order &order, bool checksFencing);
    /// Streams that an order cut at its endpoint.
    void noteCutByOrder(const std::string &requestId);
    void noteProvision(const provision_order &order);
    void noteReport(const usage_report &report);

    /// An endpoint began to run a request; `leavingSince` is when it was given notice.
    void noteWork(const std::string &requestId, const std::string &endpoint, std::optional<instant> leavingSince);
    void noteBooking(const std::string &idempotencyKey);
    void noteLostByFault(const std::string &requestId);
    void noteRefusal(const std::string &requestId, run_state state);
    void noteToken(const std::string &requestId, std::uint64_t index, const std::string &text, const std::string &expected) const;
    void noteFinish(const std::string &requestId, std::uint64_t delivered, std::uint64_t wanted) const;

    void noteAdmission(const std::string &daemon, const std::string &keyId, std::uint64_t configVersion) const;
    void noteInForce(std::uint64_t version, const std::set<std::string> &withdrawnKeys);
    void noteInstalled(const std::string &daemon, std::uint64_t before, std::uint64_t version, std::uint64_t documentHash);
    void noteStopped(const std::string &daemon, std::size_t openRequests) const;

    int executions(const std::string &idempotencyKey) const;
    std::size_t reports() const;
    std::uint64_t highestInForce() const;

private:
    const virtual_clock &m_clock;
    std::map<std::string, std::uint64_t> m_orderEpochs;
    std::map<std::pair<std::string, std::uint64_t>, endpoint_order> m_orders; ///< By endpoint and revision.
    std::uint64_t m_provisionEpoch = 0;
    std::map<std::string, provision_order> m_provisions;
    std::uint64_t m_reportEpoch = 0;
    std::map<std::uint64_t, usage_by_organisation> m_reports;
    std::set<std::string> m_ran;
    std::set<std::string> m_refusedNotRun;
    std::set<std::string> m_cutByOrder;
    std::set<std::string> m_lostByFault;
    std::map<std::string, int> m_bookings;
    std::map<std::string, instant> m_withdrawnInForce;
    std::map<std::uint64_t, instant> m_inForce;
    std::map<std::uint64_t, std::uint64_t> m_documents; ///< Hash by version.
};

}
