#pragma once

#include "protocol/control.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

enum class provision_state {
    Open,
    Settled
};

/// Stored row of one order to the platform to add or release endpoints.
struct provision_row
{
    provision_order order;
    provision_state state = provision_state::Open;
    std::vector<std::string> granted; ///< Identifiers of the endpoints that the platform granted.
};

std::string formatProvisionRow(const provision_row &value);
/// Returns DataLoss when the text is not a provision row.
absl::StatusOr<provision_row> parseProvisionRow(std::string_view text);

/// Orders endpoints from the platform while this daemon holds the lease `provision`, one order at a time per cell. The key of the order's row
/// is its idempotency token, so an order that is sent again after a lost answer takes effect once.
class provision_keeper
{
public:
    explicit provision_keeper(std::string cell);

    void setGrant(std::optional<lease_grant> grant);

    /// Requests an order. Returns false, without effect, while another order is proposed or open, or while the lease is not held or its
    /// stored orders have not been read.
    bool propose(const provision_order &order);

    bool hasOpenOrder() const;

    /// Returns the last order that the keeper read back as settled; nothing if there is none.
    const std::optional<provision_row> &lastSettled() const;

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

private:
    void advance(instant now, std::vector<control_effect> &out);
    void advanceOpen(instant now, std::vector<control_effect> &out);
    void commitRow(const provision_row &next, std::vector<control_effect> &out);
    void applyScan(const rows_scanned_event &event);
    void applyRow(const row_read_event &event);
    void applyDelivery(const delivery_event &event, std::vector<control_effect> &out);
    void discardGrantState();

    std::string m_cell;
    std::optional<lease_grant> m_grant;
    std::optional<provision_order> m_proposedOrder;
    std::optional<row> m_storedRow;
    std::optional<provision_row> m_parsedRow;
    std::optional<provision_row> m_lastSettled;
    std::optional<provision_order> m_lastSentOrder; ///< Last order that this process sent, for the invariant check.
    std::uint64_t m_nextId = 1;
    instant m_nextSend;
    bool m_scanned = false;
    bool m_mustRead = false;
    std::string m_key;
    op_id m_nextOp = 1;
    op_id m_pendingOp = 0;
};

}
