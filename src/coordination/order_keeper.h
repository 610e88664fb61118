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

/// Stored row of the latest order to an endpoint.
struct order_row
{
    endpoint_order order;
    order_state state = order_state::Open;
};

std::string formatOrderRow(const order_row &value);
/// Returns DataLoss when the text is not an order row.
absl::StatusOr<order_row> parseOrderRow(std::string_view text);

/// Sends orders to the endpoints of a cell while this daemon holds the lease `orders`. For each order, the keeper stores an open intent,
/// drains the endpoint, sends the order until the endpoint reports its revision, and settles the intent. An endpoint has at most one open
/// intent. The next lease holder completes an open intent with the same content before it sends a different order.
class order_keeper
{
public:
    explicit order_keeper(std::string cell);

    void setGrant(std::optional<lease_grant> grant);

    /// Requests an order. Returns false, without effect, while the endpoint has an order proposed or open, or while the lease is not held
    /// or its stored intents have not been read.
    bool propose(const endpoint_order &order);

    /// Stores an endpoint's report. `takenAt` is when the endpoint produced the report, `checksFencing` whether it refuses orders with an
    /// outdated fencing token.
    void noteReport(const endpoint_report &report, instant takenAt, bool checksFencing);

    /// Sets the endpoints of the fleet. Open intents for other endpoints are settled, because no endpoint is left to carry them out.
    void setFleet(std::set<std::string> endpoints);

    /// Sets the time for which every daemon of the cell has confirmed the endpoints in draining(), by answering heartbeats sent then or
    /// later; nothing when some daemon has not.
    void noteDrainConfirmed(std::optional<instant> since);

    /// Returns the endpoints that must get no new requests because an order to them is open.
    std::vector<std::string> draining() const;
    /// Returns the list of draining endpoints to send to peers, with a new revision when it changed. Returns nothing while the lease is not
    /// held or the stored intents have not been read.
    std::optional<drain_notice> notice();
    bool hasOpenOrder() const;

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

private:
    struct entry
    {
        std::optional<row> storedRow;
        std::optional<order_row> parsedRow;
        std::optional<endpoint_order> proposed; ///< Requested, but not stored as an intent yet.
        std::optional<instant> drainStarted;
        std::optional<instant> drainConfirmedSince; ///< Since when no daemon of the cell sends it new requests.
        std::optional<endpoint_report> report;
        instant reportTakenAt;
        instant nextSend;
        bool checksFencing = false;
        bool mustRead = true;
        op_id pendingOp = 0;
    };

    void advance(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out);
    void advanceOpen(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out);
    void openIntent(entry &item, const std::string &endpointId, std::vector<control_effect> &out);
    void commitRow(entry &item, const std::string &endpointId, const order_row &next, std::vector<control_effect> &out);
    void send(entry &item, instant now, std::vector<control_effect> &out);
    bool isDrained(entry &item, instant now) const;
    bool isDrainConfirmed(const entry &item) const;
    bool maySendDifferentOrder(const entry &item, instant now) const;
    void applyScan(const rows_scanned_event &event);
    void applyRow(entry &item, const row_read_event &event);
    entry *findPending(op_id op);
    bool hasLeftFleet(const std::string &endpointId) const;
    void settle(entry &item, const std::string &endpointId, std::vector<control_effect> &out);
    std::string key(const std::string &endpointId) const;
    void discardGrantState();

    std::string m_cell;
    std::optional<lease_grant> m_grant;
    std::map<std::string, entry> m_entries;
    std::map<std::string, endpoint_order> m_lastSentOrders; ///< Last order that this process sent to each endpoint, for the invariant check.
    std::optional<std::set<std::string>> m_fleet; ///< Empty until setFleet() is called.
    std::optional<instant> m_drainConfirmedSince;
    drain_notice m_lastNotice;
    bool m_scanned = false;
    op_id m_pendingScanOp = 0;
    op_id m_nextOp = 1;
};

}
