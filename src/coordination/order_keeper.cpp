#include "coordination/order_keeper.h"

#include "protocol/errors.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr auto resendInterval = std::chrono::seconds(3);
// Peers receive the draining state with the next heartbeat, and requests that they were sending at that time arrive shortly after it.
constexpr auto drainNoticePropagationTime = std::chrono::seconds(2);
// A request that a daemon was sending when it received the drain notice has reached the endpoint after this time.
constexpr auto inFlightArrivalTime = std::chrono::milliseconds(500);

std::string orderPrefix(const std::string &cell)
{
    return "order/" + cell + "/";
}

}

std::string formatOrderRow(const order_row &value)
{
    return nlohmann::json{
        {"endpoint", value.order.endpoint},
        {"revision", value.order.revision},
        {"epoch", value.order.epoch},
        {"kind", static_cast<int>(value.order.kind)},
        {"role", static_cast<int>(value.order.role)},
        {"model", value.order.model},
        {"open", value.state == order_state::Open},
    }
        .dump();
}

absl::StatusOr<order_row> parseOrderRow(std::string_view text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("revision") || !value.contains("open")) {
        return makeError(absl::StatusCode::kDataLoss, "parse order row", "table service", "not an order row");
    }
    return order_row{
        .order = {
            .endpoint = value.value("endpoint", ""),
            .revision = value["revision"],
            .epoch = value.value("epoch", std::uint64_t{0}),
            .kind = static_cast<order_kind>(value.value("kind", 0)),
            .role = static_cast<endpoint_role>(value.value("role", 0)),
            .model = value.value("model", ""),
        },
        .state = value["open"].get<bool>() ? order_state::Open : order_state::Settled,
    };
}

order_keeper::order_keeper(std::string cell)
    : m_cell(std::move(cell))
{
}

std::string order_keeper::key(const std::string &endpointId) const
{
    return orderPrefix(m_cell) + endpointId;
}

void order_keeper::setGrant(std::optional<lease_grant> grant)
{
    if (m_grant.has_value() != grant.has_value() || (grant && grant->epoch != m_grant->epoch)) {
        discardGrantState();
    }
    m_grant = grant;
}

/// Discards everything that was read or proposed under another grant. Reports of endpoints are kept.
void order_keeper::discardGrantState()
{
    m_scanned = false;
    m_pendingScanOp = 0;
    for (auto &[id, item] : m_entries) {
        item.storedRow.reset();
        item.parsedRow.reset();
        item.proposed.reset();
        item.drainStarted.reset();
        item.drainConfirmedSince.reset();
        item.mustRead = true;
        item.pendingOp = 0;
    }
}

bool order_keeper::propose(const endpoint_order &order)
{
    if (!m_grant || !m_scanned) {
        return false;
    }
    auto &item = m_entries[order.endpoint];
    if (item.proposed || (item.parsedRow && item.parsedRow->state == order_state::Open)) {
        return false;
    }
    item.proposed = order;
    return true;
}

void order_keeper::noteReport(const endpoint_report &report, instant takenAt, bool checksFencing)
{
    auto &item = m_entries[report.endpoint];
    item.checksFencing = checksFencing;
    if (!item.report || takenAt >= item.reportTakenAt) {
        item.report = report;
        item.reportTakenAt = takenAt;
    }
}

void order_keeper::setFleet(std::set<std::string> endpoints)
{
    m_fleet = std::move(endpoints);
}

bool order_keeper::hasLeftFleet(const std::string &endpointId) const
{
    return m_fleet && !m_fleet->contains(endpointId);
}

void order_keeper::noteDrainConfirmed(std::optional<instant> since)
{
    m_drainConfirmedSince = since;
}

std::vector<std::string> order_keeper::draining() const
{
    std::vector<std::string> ids;
    for (const auto &[id, item] : m_entries) {
        if (m_grant && item.parsedRow && item.parsedRow->state == order_state::Open) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<drain_notice> order_keeper::notice()
{
    if (!m_grant || !m_scanned) {
        return std::nullopt;
    }
    if (auto endpoints = draining(); m_lastNotice.epoch != m_grant->epoch || m_lastNotice.endpoints != endpoints) {
        m_lastNotice = {.epoch = m_grant->epoch, .revision = m_lastNotice.revision + 1, .endpoints = std::move(endpoints)};
    }
    return m_lastNotice;
}

bool order_keeper::hasOpenOrder() const
{
    return std::ranges::any_of(m_entries, [](const auto &item) {
        return item.second.proposed || (item.second.parsedRow && item.second.parsedRow->state == order_state::Open);
    });
}

void order_keeper::commitRow(entry &item, const std::string &endpointId, const order_row &next, std::vector<control_effect> &out)
{
    transaction change;
    change.conditions.push_back({.key = key(endpointId), .version = item.storedRow ? item.storedRow->version : 0});
    change.writes.push_back({.key = key(endpointId), .value = formatOrderRow(next)});
    item.pendingOp = m_nextOp++;
    item.mustRead = true; // Whatever the outcome, the stored row is authoritative.
    out.emplace_back(commit_effect{.op = item.pendingOp, .change = std::move(change)});
}

void order_keeper::openIntent(entry &item, const std::string &endpointId, std::vector<control_effect> &out)
{
    order_row next{.order = *item.proposed, .state = order_state::Open};
    const std::uint64_t storedRevision = item.parsedRow ? item.parsedRow->order.revision : 0;
    const std::uint64_t reportedRevision = item.report ? item.report->orderRevision : 0;
    next.order.endpoint = endpointId;
    next.order.revision = std::max(storedRevision, reportedRevision) + 1;
    next.order.epoch = m_grant->epoch;
    item.proposed.reset();
    commitRow(item, endpointId, next, out);
}

/// Returns whether an order may be sent that differs from the former holder's. An endpoint that does not check fencing tokens could still
/// accept an order that the former holder sent just before its lease expired.
bool order_keeper::maySendDifferentOrder(const entry &item, instant now) const
{
    return item.checksFencing || now >= m_grant->acquiredAt + tunables::leaseTerm + tunables::orderSendDeadline;
}

/// Returns whether every daemon of the cell has received the drain notice that names the endpoint. A daemon without it would send requests
/// that the order then interrupts.
bool order_keeper::isDrainConfirmed(const entry &item) const
{
    return m_drainConfirmedSince && *m_drainConfirmedSince >= *item.drainStarted + drainNoticePropagationTime;
}

/// Returns whether the endpoint has no work and gets none. An unreachable endpoint may still run streams, so it is not drained. Only the
/// deadlines of the running requests limit the wait.
bool order_keeper::isDrained(entry &item, instant now) const
{
    if (!item.drainStarted) {
        item.drainStarted = now;
    }
    if (!isDrainConfirmed(item)) {
        item.drainConfirmedSince.reset();
        return false;
    }
    if (!item.drainConfirmedSince) {
        item.drainConfirmedSince = now;
    }
    const bool recentReport = item.report && item.reportTakenAt >= *item.drainConfirmedSince + inFlightArrivalTime;
    return recentReport && item.report->reachable && item.report->runningStreams == 0 && item.report->queuedPromptTokens == 0;
}

void order_keeper::send(entry &item, instant now, std::vector<control_effect> &out)
{
    const auto &order = item.parsedRow->order;
    checkInvariant(now < m_grant->validUntil && order.epoch == m_grant->epoch,
                   invariant::NoOrderWithoutAuthority,
                   "order sent without a valid lease to endpoint " + order.endpoint);
    auto &last = m_lastSentOrders[order.endpoint];
    const bool sameContent = last.kind == order.kind && last.role == order.role && last.model == order.model;
    checkInvariant(order.revision > last.revision || (order.revision == last.revision && sameContent),
                   invariant::NoConflictingOrders,
                   "two different orders with the same revision to endpoint " + order.endpoint);
    last = order;
    item.nextSend = now + resendInterval;
    item.pendingOp = m_nextOp++;
    out.emplace_back(send_order_effect{.op = item.pendingOp, .order = order, .validUntil = m_grant->validUntil});
}

void order_keeper::settle(entry &item, const std::string &endpointId, std::vector<control_effect> &out)
{
    auto next = *item.parsedRow;
    next.state = order_state::Settled;
    item.drainStarted.reset();
    commitRow(item, endpointId, next, out);
}

/// Completes an open intent:
///  1. Store it again under the epoch of this grant, so that the endpoint can refuse the former holder's orders.
///  2. Settle it once the endpoint reports its revision and has finished changing role.
///  3. Otherwise wait until the endpoint is drained, then send the order every `resendInterval` until the intent is settled.
void order_keeper::advanceOpen(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out)
{
    auto next = *item.parsedRow;
    if (next.order.epoch != m_grant->epoch) {
        next.order.epoch = m_grant->epoch;
        commitRow(item, endpointId, next, out);
        return;
    }
    const bool applied = item.report && item.report->orderRevision >= next.order.revision && !item.report->changingRole;
    if (applied) {
        settle(item, endpointId, out);
        return;
    }
    if (isDrained(item, now) && now >= item.nextSend) {
        send(item, now, out);
    }
}

void order_keeper::advance(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out)
{
    if (item.pendingOp != 0) {
        return;
    }
    if (item.mustRead) {
        item.pendingOp = m_nextOp++;
        out.emplace_back(read_row_effect{.op = item.pendingOp, .key = key(endpointId)});
    } else if (hasLeftFleet(endpointId)) {
        item.proposed.reset();
        // The endpoint may return under the same name. No order of a former holder may be in flight by then.
        if (item.parsedRow && item.parsedRow->state == order_state::Open && maySendDifferentOrder(item, now)) {
            settle(item, endpointId, out);
        }
    } else if (item.parsedRow && item.parsedRow->state == order_state::Open) {
        advanceOpen(item, endpointId, now, out);
    } else if (item.proposed && maySendDifferentOrder(item, now)) {
        openIntent(item, endpointId, out);
    }
}

void order_keeper::applyScan(const rows_scanned_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    for (auto &[id, item] : m_entries) {
        item.mustRead = false;
    }
    for (const auto &found : *event.result) {
        auto &item = m_entries[found.key.substr(orderPrefix(m_cell).size())];
        item.storedRow = found;
        item.mustRead = false;
        if (auto value = parseOrderRow(found.value); value.ok()) {
            item.parsedRow = *std::move(value);
        }
    }
    m_scanned = true;
}

void order_keeper::applyRow(entry &item, const row_read_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    item.mustRead = false;
    item.storedRow = *event.result;
    item.parsedRow.reset();
    if (auto value = item.storedRow ? parseOrderRow(item.storedRow->value) : absl::NotFoundError("order row"); value.ok()) {
        item.parsedRow = *std::move(value);
    }
}

order_keeper::entry *order_keeper::findPending(op_id op)
{
    const auto found = std::ranges::find_if(m_entries, [op](const auto &item) {
        return op != 0 && item.second.pendingOp == op;
    });
    return found == m_entries.end() ? nullptr : &found->second;
}

void order_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *scan = std::get_if<rows_scanned_event>(&event); scan != nullptr && scan->op == m_pendingScanOp && m_pendingScanOp != 0) {
        m_pendingScanOp = 0;
        applyScan(*scan);
    } else if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr) {
        if (auto *item = findPending(read->op)) {
            item->pendingOp = 0;
            applyRow(*item, *read);
        }
    } else if (const auto *done = std::get_if<commit_event>(&event); done != nullptr) {
        if (auto *item = findPending(done->op)) {
            item->pendingOp = 0;
        }
    } else if (const auto *sent = std::get_if<delivery_event>(&event); sent != nullptr) {
        if (auto *item = findPending(sent->op)) {
            item->pendingOp = 0;
            item->mustRead = sent->outcome == delivery_outcome::Fenced;
        }
    } else if (std::holds_alternative<tick_event>(event) && m_grant && now < m_grant->validUntil) {
        if (!m_scanned && m_pendingScanOp == 0) {
            m_pendingScanOp = m_nextOp++;
            out.emplace_back(scan_rows_effect{.op = m_pendingScanOp, .prefix = orderPrefix(m_cell)});
        }
        for (auto &[id, item] : m_entries) {
            if (m_scanned) {
                advance(item, id, now, out);
            }
        }
    }
}

}
