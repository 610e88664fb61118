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

/// The row of one order to the platform for endpoints.
struct provision_row
{
    provision_order order;
    provision_state state = provision_state::Open;
    std::vector<std::string> granted; ///< Identifiers of the endpoints that the platform gave.
};

std::string formatProvisionRow(const provision_row &value);
absl::StatusOr<provision_row> parseProvisionRow(std::string_view text);

/// Orders endpoints from the platform, one order at a time per cell, while this daemon holds the lease `provision`. The row key is the
/// idempotency token, so an order that is sent again after a lost answer takes effect once.
class provision_keeper
{
public:
    explicit provision_keeper(std::string cell);

    void setGrant(std::optional<lease_grant> grant);

    /// Asks for an order; ignored while another one is open. Returns whether it was taken.
    bool propose(const provision_order &wanted);

    bool hasOpenOrder() const;

    /// The last order that was settled under this grant.
    const std::optional<provision_row> &lastSettled() const;

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

private:
    void advance(instant now, std::vector<control_effect> &out);
    void advanceOpen(instant now, std::vector<control_effect> &out);
    void commitRow(const provision_row &next, std::vector<control_effect> &out);
    void takeScan(const rows_scanned_event &event);
    void takeRow(const row_read_event &event);
    void takeDelivery(const delivery_event &event, std::vector<control_effect> &out);
    void forget();

    std::string m_cell;
    std::optional<lease_grant> m_grant;
    std::optional<provision_order> m_wanted;
    std::optional<row> m_stored;
    std::optional<provision_row> m_value;
    std::optional<provision_row> m_lastSettled;
    std::optional<provision_order> m_sent; ///< For the invariant check.
    std::uint64_t m_nextId = 1;
    instant m_nextSend;
    bool m_scanned = false;
    bool m_mustRead = false;
    std::string m_key;
    op_id m_nextOp = 1;
    op_id m_pending = 0;
};

}
