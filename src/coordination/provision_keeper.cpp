#include "coordination/provision_keeper.h"

#include "protocol/errors.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr auto resendInterval = std::chrono::seconds(3);

std::string provisionPrefix(const std::string &cell)
{
    return "provision/" + cell + "/";
}

std::string provisionKey(const std::string &cell, std::uint64_t id)
{
    std::array<char, 32> number{};
    // The width is fixed, so that the last row of a scan has the highest number.
    std::snprintf(number.data(), number.size(), "%010llu", static_cast<unsigned long long>(id));
    return provisionPrefix(cell) + number.data();
}

}

std::string formatProvisionRow(const provision_row &value)
{
    return nlohmann::json{
        {"token", value.order.token},
        {"epoch", value.order.epoch},
        {"group", value.order.group},
        {"failure_domain", value.order.failureDomain},
        {"reclaimable", value.order.reclaimable},
        {"count", value.order.count},
        {"release", value.order.release},
        {"open", value.state == provision_state::Open},
        {"granted", value.granted},
    }
        .dump();
}

absl::StatusOr<provision_row> parseProvisionRow(std::string_view text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("token") || !value.contains("open")) {
        return makeError(absl::StatusCode::kDataLoss, "parse provision row", "table service", "not a provision row");
    }
    return provision_row{
        .order = {
            .token = value["token"],
            .epoch = value.value("epoch", std::uint64_t{0}),
            .group = value.value("group", ""),
            .failureDomain = value.value("failure_domain", ""),
            .reclaimable = value.value("reclaimable", false),
            .count = value.value("count", 0),
            .release = value.value("release", std::vector<std::string>()),
        },
        .state = value["open"].get<bool>() ? provision_state::Open : provision_state::Settled,
        .granted = value.value("granted", std::vector<std::string>()),
    };
}

provision_keeper::provision_keeper(std::string cell)
    : m_cell(std::move(cell))
{
}

void provision_keeper::setGrant(std::optional<lease_grant> grant)
{
    if (m_grant.has_value() != grant.has_value() || (grant && grant->epoch != m_grant->epoch)) {
        discardGrantState();
    }
    m_grant = grant;
}

/// Discards everything that was read or proposed under another grant.
void provision_keeper::discardGrantState()
{
    m_proposedOrder.reset();
    m_storedRow.reset();
    m_parsedRow.reset();
    m_scanned = false;
    m_mustRead = false;
    m_pendingOp = 0;
}

bool provision_keeper::propose(const provision_order &order)
{
    if (!m_grant || !m_scanned || hasOpenOrder()) {
        return false;
    }
    m_proposedOrder = order;
    return true;
}

bool provision_keeper::hasOpenOrder() const
{
    return m_proposedOrder || m_mustRead || (m_parsedRow && m_parsedRow->state == provision_state::Open);
}

const std::optional<provision_row> &provision_keeper::lastSettled() const
{
    return m_lastSettled;
}

void provision_keeper::commitRow(const provision_row &next, std::vector<control_effect> &out)
{
    transaction change;
    change.conditions.push_back({.key = m_key, .version = m_storedRow ? m_storedRow->version : 0});
    change.writes.push_back({.key = m_key, .value = formatProvisionRow(next)});
    m_pendingOp = m_nextOp++;
    m_mustRead = true; // Whatever the outcome, the stored row is authoritative.
    out.emplace_back(commit_effect{.op = m_pendingOp, .change = std::move(change)});
}

/// Completes the open order. An order of a former holder is stored again under the epoch of this grant, once the former holder's send must
/// have ended. The order is then sent every `resendInterval` until the platform accepts or refuses it.
void provision_keeper::advanceOpen(instant now, std::vector<control_effect> &out)
{
    auto next = *m_parsedRow;
    if (next.order.epoch != m_grant->epoch) {
        if (now >= m_grant->acquiredAt + tunables::leaseTerm + tunables::orderSendDeadline) {
            next.order.epoch = m_grant->epoch;
            commitRow(next, out);
        }
        return;
    }
    if (now < m_nextSend) {
        return;
    }
    checkInvariant(now < m_grant->validUntil, invariant::SingleProvisioner, "provision order sent without a valid lease");
    checkInvariant(!m_lastSentOrder || m_lastSentOrder->token != next.order.token || m_lastSentOrder->count == next.order.count,
                   invariant::SingleProvisioner,
                   "provision token reused with a different count");
    m_lastSentOrder = next.order;
    m_nextSend = now + resendInterval;
    m_pendingOp = m_nextOp++;
    out.emplace_back(send_provision_effect{.op = m_pendingOp, .order = next.order, .validUntil = m_grant->validUntil});
}

void provision_keeper::advance(instant now, std::vector<control_effect> &out)
{
    if (!m_grant || now >= m_grant->validUntil || m_pendingOp != 0) {
        return;
    }
    if (!m_scanned) {
        m_pendingOp = m_nextOp++;
        out.emplace_back(scan_rows_effect{.op = m_pendingOp, .prefix = provisionPrefix(m_cell)});
    } else if (m_mustRead) {
        m_pendingOp = m_nextOp++;
        out.emplace_back(read_row_effect{.op = m_pendingOp, .key = m_key});
    } else if (m_parsedRow && m_parsedRow->state == provision_state::Open) {
        advanceOpen(now, out);
    } else if (m_proposedOrder && now >= m_grant->acquiredAt + tunables::leaseTerm + tunables::orderSendDeadline) {
        m_key = provisionKey(m_cell, m_nextId++);
        m_storedRow.reset();
        provision_row next{.order = *m_proposedOrder, .state = provision_state::Open};
        next.order.token = m_key;
        next.order.epoch = m_grant->epoch;
        m_proposedOrder.reset();
        commitRow(next, out);
    }
}

void provision_keeper::applyScan(const rows_scanned_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    m_scanned = true;
    if (event.result->empty()) {
        return;
    }
    const auto &last = event.result->back();
    m_nextId = std::stoull(last.key.substr(provisionPrefix(m_cell).size())) + 1;
    m_key = last.key;
    m_storedRow = last;
    if (auto value = parseProvisionRow(last.value); value.ok()) {
        m_parsedRow = *std::move(value);
    }
}

void provision_keeper::applyRow(const row_read_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    m_mustRead = false;
    m_storedRow = *event.result;
    m_parsedRow.reset();
    if (auto value = m_storedRow ? parseProvisionRow(m_storedRow->value) : absl::NotFoundError("provision row"); value.ok()) {
        m_parsedRow = *std::move(value);
    }
    if (m_parsedRow && m_parsedRow->state == provision_state::Settled) {
        m_lastSettled = m_parsedRow;
    }
}

void provision_keeper::applyDelivery(const delivery_event &event, std::vector<control_effect> &out)
{
    const bool decided = event.outcome == delivery_outcome::Accepted || event.outcome == delivery_outcome::Refused;
    if (decided && m_parsedRow) {
        auto next = *m_parsedRow;
        next.state = provision_state::Settled;
        next.granted = event.endpoints;
        commitRow(next, out);
    }
}

void provision_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (std::holds_alternative<tick_event>(event)) {
        advance(now, out);
        return;
    }
    const auto isPending = [this](op_id op) {
        return op == m_pendingOp && m_pendingOp != 0;
    };
    if (const auto *scan = std::get_if<rows_scanned_event>(&event); scan != nullptr && isPending(scan->op)) {
        m_pendingOp = 0;
        applyScan(*scan);
    } else if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr && isPending(read->op)) {
        m_pendingOp = 0;
        applyRow(*read);
    } else if (const auto *done = std::get_if<commit_event>(&event); done != nullptr && isPending(done->op)) {
        m_pendingOp = 0;
    } else if (const auto *sent = std::get_if<delivery_event>(&event); sent != nullptr && isPending(sent->op)) {
        m_pendingOp = 0;
        applyDelivery(*sent, out);
    }
}

}
