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
// Peers learn of the draining state with the next heartbeat, and requests that they were just sending arrive shortly after it.
constexpr auto drainNoticeTime = std::chrono::seconds(2);
// A request that a daemon was just sending when it learned of the draining has reached the endpoint by then.
constexpr auto lastArrivalTime = std::chrono::milliseconds(500);

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
        forget();
    }
    m_grant = grant;
}

/// Drops everything that was read or wanted under another grant; reports of endpoints are kept.
void order_keeper::forget()
{
    m_scanned = false;
    m_scan = 0;
    for (auto &[id, item] : m_entries) {
        item.stored.reset();
        item.value.reset();
        item.wanted.reset();
        item.drainStarted.reset();
        item.drainConfirmed.reset();
        item.mustRead = true;
        item.pending = 0;
    }
}

bool order_keeper::propose(const endpoint_order &wanted)
{
    if (!m_grant || !m_scanned) {
        return false;
    }
    auto &item = m_entries[wanted.endpoint];
    if (item.wanted || (item.value && item.value->state == order_state::Open)) {
        return false;
    }
    item.wanted = wanted;
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

bool order_keeper::hasVanished(const std::string &endpointId) const
{
    return m_fleet && !m_fleet->contains(endpointId);
}

void order_keeper::noteDrainConfirmed(std::optional<instant> since)
{
    m_confirmedSince = since;
}

std::vector<std::string> order_keeper::draining() const
{
    std::vector<std::string> ids;
    for (const auto &[id, item] : m_entries) {
        if (m_grant && item.value && item.value->state == order_state::Open) {
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
        return item.second.wanted || (item.second.value && item.second.value->state == order_state::Open);
    });
}

void order_keeper::commitRow(entry &item, const std::string &endpointId, const order_row &next, std::vector<control_effect> &out)
{
    transaction change;
    change.conditions.push_back({.key = key(endpointId), .version = item.stored ? item.stored->version : 0});
    change.writes.push_back({.key = key(endpointId), .value = formatOrderRow(next)});
    item.pending = m_nextOp++;
    item.mustRead = true; // Whatever the outcome, the stored row decides.
    out.emplace_back(commit_effect{.op = item.pending, .change = std::move(change)});
}

void order_keeper::openIntent(entry &item, const std::string &endpointId, std::vector<control_effect> &out)
{
    order_row next{.order = *item.wanted, .state = order_state::Open};
    const std::uint64_t known = item.value ? item.value->order.revision : 0;
    const std::uint64_t reported = item.report ? item.report->orderRevision : 0;
    next.order.endpoint = endpointId;
    next.order.revision = std::max(known, reported) + 1;
    next.order.epoch = m_grant->epoch;
    item.wanted.reset();
    commitRow(item, endpointId, next, out);
}

/// Whether a different order than the former holder's may go out. An endpoint that does not check fencing tokens could still take an
/// order that the former holder sent just before its lease expired.
bool order_keeper::mayDiffer(const entry &item, instant now) const
{
    return item.checksFencing || now >= m_grant->acquiredAt + tunables::leaseTerm + tunables::orderSendDeadline;
}

/// Whether every daemon of the cell has the notice that names the endpoint. A daemon that does not hear of the draining would send requests
/// that the order then cuts.
bool order_keeper::drainConfirmed(const entry &item) const
{
    return m_confirmedSince && *m_confirmedSince >= *item.drainStarted + drainNoticeTime;
}

/// Whether the endpoint has no work and gets none. An endpoint that does not answer may still run streams. The waiting has no limit but the deadlines of the
/// running requests.
bool order_keeper::drained(entry &item, instant now) const
{
    if (!item.drainStarted) {
        item.drainStarted = now;
    }
    if (!drainConfirmed(item)) {
        item.drainConfirmed.reset();
        return false;
    }
    if (!item.drainConfirmed) {
        item.drainConfirmed = now;
    }
    const bool recentReport = item.report && item.reportTakenAt >= *item.drainConfirmed + lastArrivalTime;
    return recentReport && item.report->reachable && item.report->runningStreams == 0 && item.report->queuedPromptTokens == 0;
}

void order_keeper::send(entry &item, instant now, std::vector<control_effect> &out)
{
    const auto &order = item.value->order;
    checkInvariant(
        now < m_grant->validUntil && order.epoch == m_grant->epoch, invariant::NoOrderWithoutAuthority, "order without a valid lease for " + order.endpoint);
    auto &last = m_sent[order.endpoint];
    const bool sameContent = last.kind == order.kind && last.role == order.role && last.model == order.model;
    checkInvariant(order.revision > last.revision || (order.revision == last.revision && sameContent),
                   invariant::NoConflictingOrders,
                   "two orders with one revision for " + order.endpoint);
    last = order;
    item.nextSend = now + resendInterval;
    item.pending = m_nextOp++;
    out.emplace_back(send_order_effect{.op = item.pending, .order = order, .validUntil = m_grant->validUntil});
}

void order_keeper::settle(entry &item, const std::string &endpointId, std::vector<control_effect> &out)
{
    auto next = *item.value;
    next.state = order_state::Settled;
    item.drainStarted.reset();
    commitRow(item, endpointId, next, out);
}

/// Completes an open intent.
///  1. Take it over under the own epoch, so that the endpoint can refuse the former holder's orders.
///  2. Settle it when the endpoint reports its revision and the state that was ordered.
///  3. Wait until the endpoint has no work, then send the order, again and again until it is settled.
void order_keeper::advanceOpen(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out)
{
    auto next = *item.value;
    if (next.order.epoch != m_grant->epoch) {
        next.order.epoch = m_grant->epoch;
        commitRow(item, endpointId, next, out);
        return;
    }
    const bool taken = item.report && item.report->orderRevision >= next.order.revision && !item.report->changingRole;
    if (taken) {
        settle(item, endpointId, out);
        return;
    }
    if (drained(item, now) && now >= item.nextSend) {
        send(item, now, out);
    }
}

void order_keeper::advance(entry &item, const std::string &endpointId, instant now, std::vector<control_effect> &out)
{
    if (item.pending != 0) {
        return;
    }
    if (item.mustRead) {
        item.pending = m_nextOp++;
        out.emplace_back(read_row_effect{.op = item.pending, .key = key(endpointId)});
    } else if (hasVanished(endpointId)) {
        item.wanted.reset();
        // The endpoint may come back under the same name; by then no order of a former holder may be on its way.
        if (item.value && item.value->state == order_state::Open && mayDiffer(item, now)) {
            settle(item, endpointId, out);
        }
    } else if (item.value && item.value->state == order_state::Open) {
        advanceOpen(item, endpointId, now, out);
    } else if (item.wanted && mayDiffer(item, now)) {
        openIntent(item, endpointId, out);
    }
}

void order_keeper::takeScan(const rows_scanned_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    for (auto &[id, item] : m_entries) {
        item.mustRead = false;
    }
    for (const auto &found : *event.result) {
        auto &item = m_entries[found.key.substr(orderPrefix(m_cell).size())];
        item.stored = found;
        item.mustRead = false;
        if (auto value = parseOrderRow(found.value); value.ok()) {
            item.value = *std::move(value);
        }
    }
    m_scanned = true;
}

void order_keeper::takeRow(entry &item, const row_read_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    item.mustRead = false;
    item.stored = *event.result;
    item.value.reset();
    if (auto value = item.stored ? parseOrderRow(item.stored->value) : absl::NotFoundError("order row"); value.ok()) {
        item.value = *std::move(value);
    }
}

order_keeper::entry *order_keeper::findPending(op_id op)
{
    const auto found = std::ranges::find_if(m_entries, [op](const auto &item) {
        return op != 0 && item.second.pending == op;
    });
    return found == m_entries.end() ? nullptr : &found->second;
}

void order_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *scan = std::get_if<rows_scanned_event>(&event); scan != nullptr && scan->op == m_scan && m_scan != 0) {
        m_scan = 0;
        takeScan(*scan);
    } else if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr) {
        if (auto *item = findPending(read->op)) {
            item->pending = 0;
            takeRow(*item, *read);
        }
    } else if (const auto *done = std::get_if<commit_event>(&event); done != nullptr) {
        if (auto *item = findPending(done->op)) {
            item->pending = 0;
        }
    } else if (const auto *sent = std::get_if<delivery_event>(&event); sent != nullptr) {
        if (auto *item = findPending(sent->op)) {
            item->pending = 0;
            item->mustRead = sent->outcome == delivery::Fenced;
        }
    } else if (std::holds_alternative<tick_event>(event) && m_grant && now < m_grant->validUntil) {
        if (!m_scanned && m_scan == 0) {
            m_scan = m_nextOp++;
            out.emplace_back(scan_rows_effect{.op = m_scan, .prefix = orderPrefix(m_cell)});
        }
        for (auto &[id, item] : m_entries) {
            if (m_scanned) {
                advance(item, id, now, out);
            }
        }
    }
}

}
