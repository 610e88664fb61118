#include "coordination/usage_keeper.h"
#include "protocol/tunables.h"
#include "protocol/usage_codec.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

namespace
{

std::string formatBatch(const std::vector<usage_record> &records, std::optional<std::uint64_t> lateFrom)
{
    usage_by_organisation sums;
    for (const auto &record : records) {
        sums[record.organisation] += record.figures;
    }
    nlohmann::json value = {{"figures", sums}};
    if (lateFrom) {
        value["late_from"] = *lateFrom;
    }
    return value.dump();
}

}

std::string windowKey(std::string_view cell, std::uint64_t window)
{
    std::array<char, 32> number{};
    // Fixed width, so that the key order of a scan is the order of the windows.
    std::snprintf(number.data(), number.size(), "%012llu", static_cast<unsigned long long>(window));
    return "window/" + std::string(cell) + "/" + number.data();
}

usage_batcher::usage_batcher(std::string cell, std::string daemonId, std::string incarnation, usage_ledger &ledger)
    : m_cell(std::move(cell))
    , m_writer(std::move(daemonId) + "-" + std::move(incarnation))
    , m_ledger(ledger)
{
}

void usage_batcher::setWindow(window_clock window)
{
    m_window = window;
}

bool usage_batcher::idle() const
{
    return !m_batch && m_ledger.size() == 0;
}

std::string usage_batcher::batchKey() const
{
    const std::string window = windowKey(m_cell, m_batch->window);
    const std::string number = window.substr(window.rfind('/') + 1);
    return "usage/" + m_cell + "/" + number + "/" + m_writer + "/" + std::to_string(m_batch->sequence);
}

void usage_batcher::startBatch(instant now)
{
    if (now < m_nextFlush || m_ledger.size() == 0) {
        return;
    }
    m_nextFlush = now + tunables::usageFlushInterval;
    m_batch = batch{.window = m_window.current, .sequence = ++m_sequence, .records = m_ledger.take()};
}

void usage_batcher::sendBatch(std::vector<control_effect> &out)
{
    transaction change;
    change.conditions.push_back({.key = windowKey(m_cell, m_batch->window), .version = 0});
    change.conditions.push_back({.key = batchKey(), .version = 0});
    change.writes.push_back({.key = batchKey(), .value = formatBatch(m_batch->records, m_batch->lateFrom)});
    m_pending = m_nextOp++;
    out.emplace_back(commit_effect{.op = m_pending, .change = std::move(change)});
}

/// The batch is in the table service, so the peers need not hold its records any more.
void usage_batcher::finishBatch()
{
    m_ledger.noteCommitted(m_batch->records);
    m_batch.reset();
}

void usage_batcher::flushSoon()
{
    m_nextFlush = instant();
}

void usage_batcher::takeCommit(commit_outcome outcome, std::vector<control_effect> &out)
{
    switch (outcome) {
    case commit_outcome::Committed:
        finishBatch();
        return;
    case commit_outcome::Conflict:
        // Either an earlier try of this batch took effect or its window is closed; the batch row tells which.
        m_pending = m_nextOp++;
        out.emplace_back(read_row_effect{.op = m_pending, .key = batchKey()});
        return;
    case commit_outcome::Unavailable:
    case commit_outcome::Unknown:
        return; // The same row is inserted again at the next tick; it can take effect once only.
    }
}

void usage_batcher::takeBatchRow(const std::optional<row> &found, std::vector<control_effect> &out)
{
    if (found) {
        finishBatch();
        return;
    }
    m_readingWindow = true;
    m_pending = m_nextOp++;
    out.emplace_back(read_row_effect{.op = m_pending, .key = windowKey(m_cell, m_batch->window)});
}

/// The window is closed, so no earlier try can take effect any more. Either its figures contain the batch or the batch moves on.
void usage_batcher::takeWindowRow(const std::optional<row> &found)
{
    const auto window = found ? parseWindowRow(found->value) : absl::NotFoundError("window row");
    if (!window.ok()) {
        return;
    }
    if (const auto counted = window->writers.find(m_writer); counted != window->writers.end() && counted->second >= m_batch->sequence) {
        finishBatch();
        return;
    }
    m_batch->lateFrom = m_batch->lateFrom.value_or(m_batch->window);
    m_batch->window = std::max(m_window.current, m_batch->window + 1);
}

void usage_batcher::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *done = std::get_if<commit_event>(&event); done != nullptr && done->op == m_pending) {
        m_pending = 0;
        takeCommit(done->outcome, out);
    } else if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr && read->op == m_pending) {
        m_pending = 0;
        if (const bool ofWindow = std::exchange(m_readingWindow, false); !read->result.ok()) {
            return;
        } else if (ofWindow) {
            takeWindowRow(*read->result);
        } else {
            takeBatchRow(*read->result, out);
        }
    } else if (std::holds_alternative<tick_event>(event) && m_pending == 0) {
        if (!m_batch) {
            startBatch(now);
        }
        if (m_batch) {
            sendBatch(out);
        }
    }
}

}
