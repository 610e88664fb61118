#include "coordination/usage_keeper.h"

#include "protocol/errors.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"
#include "protocol/usage_codec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr std::array<std::string_view, 4> windowStateNames = {"closed", "frozen", "sending", "reported"};

std::string headKey(std::string_view cell)
{
    return "usage-head/" + std::string(cell);
}

std::string batchPrefix(const std::string &cell, std::uint64_t window)
{
    const std::string key = windowKey(cell, window);
    return "usage/" + cell + "/" + key.substr(key.rfind('/') + 1) + "/";
}

std::uint64_t parseHead(const row &head)
{
    return nlohmann::json::parse(head.value).at("next").get<std::uint64_t>();
}

std::string formatHead(std::uint64_t next)
{
    return nlohmann::json{{"next", next}}.dump();
}

/// Returns the window number of a batch key `usage/CELL/WINDOW/...`.
std::uint64_t windowOfBatch(std::string_view key, std::string_view cell)
{
    key.remove_prefix(std::string_view("usage/").size() + cell.size() + 1);
    return std::stoull(std::string(key.substr(0, key.find('/'))));
}

window_row withState(window_row value, window_state state, std::uint64_t epoch)
{
    value.state = state;
    value.epoch = epoch;
    return value;
}

}

std::string formatWindowRow(const window_row &value)
{
    return nlohmann::json{
        {"state", windowStateNames[static_cast<std::size_t>(value.state)]},
        {"epoch", value.epoch},
        {"figures", value.figures},
    }
        .dump();
}

absl::StatusOr<window_row> parseWindowRow(std::string_view text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("state") || !value.contains("epoch") || !value.contains("figures")) {
        return makeError(absl::StatusCode::kDataLoss, "parse window row", "table service", "not a window row");
    }
    const auto name = std::ranges::find(windowStateNames, value["state"].get<std::string>());
    if (name == windowStateNames.end()) {
        return makeError(absl::StatusCode::kDataLoss, "parse window row", "table service", "unknown window state");
    }
    return window_row{
        .state = static_cast<window_state>(name - windowStateNames.begin()),
        .epoch = value["epoch"],
        .figures = value["figures"].get<usage_by_organisation>(),
    };
}

usage_keeper::usage_keeper(std::string cell)
    : m_cell(std::move(cell))
{
}

void usage_keeper::setGrant(std::optional<lease_grant> grant)
{
    if (m_grant.has_value() != grant.has_value() || (grant && grant->epoch != m_grant->epoch)) {
        discardGrantState();
    }
    m_grant = grant;
}

void usage_keeper::setWindow(window_clock window)
{
    m_window = window;
}

/// Discards everything that was read under another grant. The answer of a pending operation is then ignored.
void usage_keeper::discardGrantState()
{
    m_pendingOp = 0;
    m_headRead = false;
    m_headRow.reset();
    m_unreportedWindow = 0;
    m_unreportedRow.reset();
    m_unreportedValue.reset();
}

void usage_keeper::read(step next, std::string key, std::vector<control_effect> &out)
{
    m_step = next;
    m_pendingOp = m_nextOp++;
    out.emplace_back(read_row_effect{.op = m_pendingOp, .key = std::move(key)});
}

void usage_keeper::commit(transaction change, std::vector<control_effect> &out)
{
    m_step = step::Commit;
    m_pendingOp = m_nextOp++;
    out.emplace_back(commit_effect{.op = m_pendingOp, .change = std::move(change)});
}

void usage_keeper::commitWindow(const window_row &next, std::vector<control_effect> &out, std::vector<row_write> alsoWrite)
{
    const std::string key = windowKey(m_cell, m_unreportedWindow);
    alsoWrite.push_back({.key = key, .value = formatWindowRow(next)});
    commit({.conditions = {{.key = key, .version = m_unreportedRow->version}}, .writes = std::move(alsoWrite)}, out);
}

/// Stores the sums of the batches as the figures of the window and deletes the batches, in one commit.
void usage_keeper::freeze(const std::vector<row> &batches, std::vector<control_effect> &out)
{
    window_row frozen{.state = window_state::Frozen, .epoch = m_grant->epoch};
    std::vector<row_write> deletions;
    for (const auto &batch : batches) {
        for (const auto &[organisation, figures] : nlohmann::json::parse(batch.value).at("figures").get<usage_by_organisation>()) {
            frozen.figures[organisation] += figures;
        }
        deletions.push_back({.key = batch.key, .value = std::nullopt});
    }
    commitWindow(frozen, out, std::move(deletions));
}

/// Closes the next window, so that no batch can be added to it.
void usage_keeper::closeNext(std::vector<control_effect> &out)
{
    transaction change;
    change.conditions.push_back({.key = headKey(m_cell), .version = m_headRow ? m_headRow->version : 0});
    change.writes.push_back({.key = headKey(m_cell), .value = formatHead(m_nextWindow + 1)});
    change.writes.push_back({.key = windowKey(m_cell, m_nextWindow), .value = formatWindowRow({.state = window_state::Closed, .epoch = m_grant->epoch})});
    m_headRead = false;
    commit(std::move(change), out);
}

/// Starts the next step:
///  1. Read the head row, which holds the next window to close. If there is none, find the first window that has batches.
///  2. Advance the last closed window until its state is Reported.
///  3. Close the next window once its grace period has passed.
void usage_keeper::advance(instant now, std::vector<control_effect> &out)
{
    if (!m_grant || now >= m_grant->validUntil || m_pendingOp != 0) {
        return;
    }
    if (!m_headRead) {
        read(step::ReadHead, headKey(m_cell), out);
        return;
    }
    if (!m_headRow && m_nextWindow == 0) {
        m_step = step::FindFirstWindow;
        m_pendingOp = m_nextOp++;
        out.emplace_back(scan_rows_effect{.op = m_pendingOp, .prefix = "usage/" + m_cell + "/"});
        return;
    }
    if (m_unreportedWindow != 0) {
        advanceWindow(now, out);
        return;
    }
    if (m_nextWindow < m_window.firstNotClosable) {
        closeNext(out);
    }
}

void usage_keeper::advanceWindow(instant now, std::vector<control_effect> &out)
{
    if (!m_unreportedValue) {
        read(step::ReadWindow, windowKey(m_cell, m_unreportedWindow), out);
        return;
    }
    switch (m_unreportedValue->state) {
    case window_state::Closed:
        m_step = step::SumBatches;
        m_pendingOp = m_nextOp++;
        out.emplace_back(scan_rows_effect{.op = m_pendingOp, .prefix = batchPrefix(m_cell, m_unreportedWindow)});
        return;
    case window_state::Frozen:
        commitWindow(withState(*m_unreportedValue, window_state::Sending, m_grant->epoch), out);
        return;
    case window_state::Sending:
        if (m_unreportedValue->epoch == m_grant->epoch) {
            sendReport(now, out);
        } else if (now >= m_grant->acquiredAt + tunables::leaseTerm + tunables::orderSendDeadline) {
            // The former holder's send has ended by now. Send the same figures under the epoch of this grant.
            commitWindow(withState(*m_unreportedValue, window_state::Sending, m_grant->epoch), out);
        }
        return;
    case window_state::Reported:
        m_unreportedWindow = 0;
        m_unreportedRow.reset();
        m_unreportedValue.reset();
        return;
    }
}

void usage_keeper::sendReport(instant now, std::vector<control_effect> &out)
{
    checkInvariant(
        now < m_grant->validUntil && m_unreportedValue->epoch == m_grant->epoch, invariant::SingleWindowReport, "usage report sent without a valid lease");
    const auto [sent, first] = m_sentFigures.try_emplace(m_unreportedWindow, m_unreportedValue->figures);
    checkInvariant(first || sent->second == m_unreportedValue->figures, invariant::SingleWindowReport, "usage window reported again with different figures");
    m_step = step::Send;
    m_pendingOp = m_nextOp++;
    out.emplace_back(send_usage_effect{
        .op = m_pendingOp,
        .report = {.cell = m_cell, .window = m_unreportedWindow, .epoch = m_grant->epoch, .figures = m_unreportedValue->figures},
        .validUntil = m_grant->validUntil,
    });
}

void usage_keeper::applyRow(const row_read_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    if (m_step == step::ReadWindow) {
        m_unreportedRow = *event.result;
        if (auto value = m_unreportedRow ? parseWindowRow(m_unreportedRow->value) : absl::NotFoundError("window row"); value.ok()) {
            m_unreportedValue = *std::move(value);
        }
        return;
    }
    m_headRow = *event.result;
    m_headRead = true;
    m_nextWindow = m_headRow ? parseHead(*m_headRow) : 0;
    m_unreportedWindow = m_nextWindow > 0 ? m_nextWindow - 1 : 0;
    m_unreportedRow.reset();
    m_unreportedValue.reset();
}

void usage_keeper::applyScan(const rows_scanned_event &event, std::vector<control_effect> &out)
{
    if (!event.result.ok()) {
        return;
    }
    if (m_step == step::FindFirstWindow) {
        const auto &rows = *event.result;
        m_nextWindow = rows.empty() ? m_window.current : windowOfBatch(rows.front().key, m_cell);
        return;
    }
    freeze(*event.result, out);
}

void usage_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr && read->op == m_pendingOp && m_pendingOp != 0) {
        m_pendingOp = 0;
        applyRow(*read);
    } else if (const auto *scan = std::get_if<rows_scanned_event>(&event); scan != nullptr && scan->op == m_pendingOp && m_pendingOp != 0) {
        m_pendingOp = 0;
        applyScan(*scan, out);
    } else if (const auto *done = std::get_if<commit_event>(&event); done != nullptr && done->op == m_pendingOp && m_pendingOp != 0) {
        m_pendingOp = 0;
        m_unreportedValue.reset(); // Whatever the outcome, the stored row is authoritative.
    } else if (const auto *sent = std::get_if<delivery_event>(&event); sent != nullptr && sent->op == m_pendingOp && m_pendingOp != 0) {
        m_pendingOp = 0;
        if (sent->outcome == delivery_outcome::Accepted && m_grant && now < m_grant->validUntil) {
            commitWindow(withState(*m_unreportedValue, window_state::Reported, m_grant->epoch), out);
        }
    } else if (std::holds_alternative<tick_event>(event)) {
        advance(now, out);
    }
}

}
