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

constexpr std::array<std::string_view, 4> stateNames = {"closed", "frozen", "sending", "reported"};

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

/// The window number in a batch key `usage/CELL/WINDOW/...`.
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
        {"state", stateNames[static_cast<std::size_t>(value.state)]},
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
    const auto name = std::ranges::find(stateNames, value["state"].get<std::string>());
    if (name == stateNames.end()) {
        return makeError(absl::StatusCode::kDataLoss, "parse window row", "table service", "unknown state");
    }
    return window_row{
        .state = static_cast<window_state>(name - stateNames.begin()),
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
        forget();
    }
    m_grant = grant;
}

void usage_keeper::setWindow(window_clock window)
{
    m_window = window;
}

/// Drops everything that was read under another grant; a pending answer is then ignored.
void usage_keeper::forget()
{
    m_pending = 0;
    m_headKnown = false;
    m_head.reset();
    m_working = 0;
    m_workingRow.reset();
    m_workingValue.reset();
}

void usage_keeper::read(step next, std::string key, std::vector<control_effect> &out)
{
    m_step = next;
    m_pending = m_nextOp++;
    out.emplace_back(read_row_effect{.op = m_pending, .key = std::move(key)});
}

void usage_keeper::commit(transaction change, std::vector<control_effect> &out)
{
    m_step = step::Commit;
    m_pending = m_nextOp++;
    out.emplace_back(commit_effect{.op = m_pending, .change = std::move(change)});
}

void usage_keeper::commitWindow(const window_row &next, std::vector<control_effect> &out, std::vector<row_write> alsoWrite)
{
    const std::string key = windowKey(m_cell, m_working);
    alsoWrite.push_back({.key = key, .value = formatWindowRow(next)});
    commit({.conditions = {{.key = key, .version = m_workingRow->version}}, .writes = std::move(alsoWrite)}, out);
}

/// Adds up the batches, stores the sums as the figures of the window and deletes the batches, all in one commit.
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

/// Closes the next window: from here on no batch can be added to it.
void usage_keeper::closeNext(std::vector<control_effect> &out)
{
    transaction change;
    change.conditions.push_back({.key = headKey(m_cell), .version = m_head ? m_head->version : 0});
    change.writes.push_back({.key = headKey(m_cell), .value = formatHead(m_next + 1)});
    change.writes.push_back({.key = windowKey(m_cell, m_next), .value = formatWindowRow({.state = window_state::Closed, .epoch = m_grant->epoch})});
    m_headKnown = false;
    commit(std::move(change), out);
}

/// Decides the next step from what was read last.
///  1. Read the head row, which names the next window to close; without one, find the first window that has batches.
///  2. Bring the last closed window to the state Reported.
///  3. Close the next window when its grace period has passed.
void usage_keeper::advance(instant now, std::vector<control_effect> &out)
{
    if (!m_grant || now >= m_grant->validUntil || m_pending != 0) {
        return;
    }
    if (!m_headKnown) {
        read(step::ReadHead, headKey(m_cell), out);
        return;
    }
    if (!m_head && m_next == 0) {
        m_step = step::FindFirst;
        m_pending = m_nextOp++;
        out.emplace_back(scan_rows_effect{.op = m_pending, .prefix = "usage/" + m_cell + "/"});
        return;
    }
    if (m_working != 0) {
        advanceWindow(now, out);
        return;
    }
    if (m_next < m_window.firstNotClosable) {
        closeNext(out);
    }
}

void usage_keeper::advanceWindow(instant now, std::vector<control_effect> &out)
{
    if (!m_workingValue) {
        read(step::ReadWindow, windowKey(m_cell, m_working), out);
        return;
    }
    switch (m_workingValue->state) {
    case window_state::Closed:
        m_step = step::SumBatches;
        m_pending = m_nextOp++;
        out.emplace_back(scan_rows_effect{.op = m_pending, .prefix = batchPrefix(m_cell, m_working)});
        return;
    case window_state::Frozen:
        commitWindow(withState(*m_workingValue, window_state::Sending, m_grant->epoch), out);
        return;
    case window_state::Sending:
        if (m_workingValue->epoch == m_grant->epoch) {
            sendReport(now, out);
        } else if (now >= m_grant->acquiredAt + tunables::leaseTerm + tunables::orderSendDeadline) {
            // The former holder's send has ended by now; the same figures go out under the own epoch.
            commitWindow(withState(*m_workingValue, window_state::Sending, m_grant->epoch), out);
        }
        return;
    case window_state::Reported:
        m_working = 0;
        m_workingRow.reset();
        m_workingValue.reset();
        return;
    }
}

void usage_keeper::sendReport(instant now, std::vector<control_effect> &out)
{
    checkInvariant(now < m_grant->validUntil && m_workingValue->epoch == m_grant->epoch, invariant::SingleWindowReport, "report without a valid lease");
    const auto [sent, first] = m_sent.try_emplace(m_working, m_workingValue->figures);
    checkInvariant(first || sent->second == m_workingValue->figures, invariant::SingleWindowReport, "window reported again with different figures");
    m_step = step::Send;
    m_pending = m_nextOp++;
    out.emplace_back(send_usage_effect{
        .op = m_pending,
        .report = {.cell = m_cell, .window = m_working, .epoch = m_grant->epoch, .figures = m_workingValue->figures},
        .validUntil = m_grant->validUntil,
    });
}

void usage_keeper::takeRow(const row_read_event &event)
{
    if (!event.result.ok()) {
        return;
    }
    if (m_step == step::ReadWindow) {
        m_workingRow = *event.result;
        if (auto value = m_workingRow ? parseWindowRow(m_workingRow->value) : absl::NotFoundError("window row"); value.ok()) {
            m_workingValue = *std::move(value);
        }
        return;
    }
    m_head = *event.result;
    m_headKnown = true;
    m_next = m_head ? parseHead(*m_head) : 0;
    m_working = m_next > 0 ? m_next - 1 : 0;
    m_workingRow.reset();
    m_workingValue.reset();
}

void usage_keeper::takeScan(const rows_scanned_event &event, std::vector<control_effect> &out)
{
    if (!event.result.ok()) {
        return;
    }
    if (m_step == step::FindFirst) {
        const auto &rows = *event.result;
        m_next = rows.empty() ? m_window.current : windowOfBatch(rows.front().key, m_cell);
        return;
    }
    freeze(*event.result, out);
}

void usage_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr && read->op == m_pending && m_pending != 0) {
        m_pending = 0;
        takeRow(*read);
    } else if (const auto *scan = std::get_if<rows_scanned_event>(&event); scan != nullptr && scan->op == m_pending && m_pending != 0) {
        m_pending = 0;
        takeScan(*scan, out);
    } else if (const auto *done = std::get_if<commit_event>(&event); done != nullptr && done->op == m_pending && m_pending != 0) {
        m_pending = 0;
        m_workingValue.reset(); // Whatever the outcome, the stored row decides.
    } else if (const auto *sent = std::get_if<delivery_event>(&event); sent != nullptr && sent->op == m_pending && m_pending != 0) {
        m_pending = 0;
        if (sent->outcome == delivery::Accepted && m_grant && now < m_grant->validUntil) {
            commitWindow(withState(*m_workingValue, window_state::Reported, m_grant->epoch), out);
        }
    } else if (std::holds_alternative<tick_event>(event)) {
        advance(now, out);
    }
}

}
