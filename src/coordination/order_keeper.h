#pragma once

#include "protocol/control.h"
#include "state/drain_notice.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewinglock
{

enum class order_state {
    Open,
    Settled
};

/// The row of the latest order to an endpoint.
struct order_row
{
    endpoint_order order;
    order_state state = order_state::Open;
};

std::string formatOrderRow(const order_row &value);
absl::StatusOr<order_row> parseOrderRow(std::string_view text);

/// Gives orders to the endpoints of a cell while this daemon holds the lease `orders`. Each order is stored as an open intent, the
/// endpoint is drained, the order is sent until the endpoint reports its revision, and the intent is settled. There is at most one
/// open intent per endpoint; a successor completes an open one with the same content before any different order.
class order_keeper
{
public:
    explicit order_keeper(std::string cell);

    void setGrant(std::optional<lease_grant> grant);

    /// Asks for an order; ignored while the endpoint has an open intent or the lease is not held. Returns whether it was taken.
    bool propose(const endpoint_order &wanted);

    /// Takes what an endpoint reported. `takenAt` is when the report was taken at the endpoint.
    void noteReport(const endpoint_report &report, instant takenAt, bool checksFencing);

    /// The endpoints of the fleet. Open intents of others are settled, because nobody is left to take them.
    void setFleet(std::set<std::string> endpoints);

    /// Every daemon of the cell has confirmed the endpoints named by `draining` in heartbeats sent at this time or later; nothing when some
    /// daemon has not.
    void noteDrainConfirmed(std::optional<instant> since);

    /// Endpoints that must get no new work because an order is due.
    std::vector<std::string> draining() const;
    /// The same list for the peers; nothing while the lease is not held or its open intents are not read yet.
    std::optional<drain_notice> notice();
    bool hasOpenOrder() const;

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

private:
    struct entry
    {
        std::optional<row> stored;
        std::optional<order_row> value;
        std::optional<endpoint_order> wanted;
        std::optional<instant> drainStarted;
        std::optional<instant> drainConfirmed; ///< Since when no daemon of the cell sends new work.
        std::optional<endpoint_report> report;
        instant reportTakenAt;
        instant nextSend;
        bool checksFencing = false;
        bool mustRead = true;
        op_id pending = 0;
    };

    void advance(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out);
    void advanceOpen(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out);
    void openIntent(entry &item, const std::string &endpointId, std::vector<control_effect> &out);
    void commitRow(entry &item, const std::string &endpointId, const order_row &next, std::vector<control_effect> &out);
    void send(entry &item, instant now, std::vector<control_effect> &out);
    bool drained(entry &item, instant now) const;
    bool drainConfirmed(const entry &item) const;
    bool mayDiffer(const entry &item, instant now) const;
    void takeScan(const rows_scanned_event &event);
    void takeRow(entry &item, const row_read_event &event);
    entry *findPending(op_id op);
    bool hasVanished(const std::string &endpointId) const;
    void settle(entry &item, const std::string &endpointId, std::vector<control_effect> &out);
    std::string key(const std::string &endpointId) const;
    void forget();

    std::string m_cell;
    std::optional<lease_grant> m_grant;
    std::map<std::string, entry> m_entries;
    std::map<std::string, endpoint_order> m_sent; ///< Last order sent per endpoint in this process, for the invariant check.
    std::optional<std::set<std::string>> m_fleet; ///< Empty until it is known.
    std::optional<instant> m_confirmedSince;
    drain_notice m_lastNotice;
    bool m_scanned = false;
    op_id m_scan = 0;
    op_id m_nextOp = 1;
};

}
