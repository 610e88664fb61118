#include "coordination/usage_keeper.h"
#include "protocol/tunables.h"
#include "protocol/usage_codec.h"
#include "protocol/usage_writer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <glog/logging.h>
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
    // The width is fixed, so that a scan returns the windows in order.
    std::snprintf(number.data(), number.size(), "%012llu", static_cast<unsigned long long>(window));
    return "window/" + std::string(cell) + "/" + number.data();
}

usage_batcher::usage_batcher(std::string cell, std::string daemonId, std::string incarnation, usage_ledger &ledger)
    : m_cell(std::move(cell))
    , m_ledger(ledger)
{
    m_ledger.setWriter(std::move(daemonId) + "-" + std::move(incarnation));
}

void usage_batcher::setWindow(window_clock window)
{
    m_window = window;
}

bool usage_batcher::idle() const
{
    return !m_batch && m_ledger.size() == 0 && m_ledger.orphanCount() == 0;
}

std::string usage_batcher::batchKey(std::uint64_t sequence) const
{
    const std::string window = windowKey(m_cell, m_batch->window);
    const std::string number = window.substr(window.rfind('/') + 1);
    return "usage/" + m_cell + "/" + number + "/" + m_batch->records.front().writer + "/" + std::to_string(sequence);
}

/// Takes the records of the next batch, all of one writer: this daemon's records once per flush interval, otherwise orphaned copies of
/// another writer.
void usage_batcher::startBatch(instant now)
{
    std::vector<usage_record> records;
    if (now >= m_nextFlush && m_ledger.size() > 0) {
        m_nextFlush = now + tunables::usageFlushInterval;
        records = m_ledger.take();
    } else {
        records = m_ledger.takeOrphans();
    }
    if (!records.empty()) {
        m_batch = batch{.window = m_window.current, .records = std::move(records)};
    }
}

void usage_batcher::read(step next, std::string key, std::vector<control_effect> &out)
{
    m_step = next;
    m_pendingOp = m_nextOp++;
    out.emplace_back(read_row_effect{.op = m_pendingOp, .key = std::move(key)});
}

/// Inserts the batch on condition that its window is open and that the writer row has not changed since it was read.
void usage_batcher::commitBatch(const std::optional<row> &found, usage_writer_row billed, std::vector<control_effect> &out)
{
    const std::string writerKey = usageWriterKey(m_cell, m_batch->records.front().writer);
    ++billed.sequence;
    for (const auto &record : m_batch->records) {
        billed.add(record.number);
    }
    transaction change;
    change.conditions.push_back({.key = windowKey(m_cell, m_batch->window), .version = 0});
    change.conditions.push_back({.key = writerKey, .version = found ? found->version : 0});
    change.writes.push_back({.key = writerKey, .value = formatUsageWriter(billed)});
    change.writes.push_back({.key = batchKey(billed.sequence), .value = formatBatch(m_batch->records, m_batch->lateFrom)});
    m_pendingOp = m_nextOp++;
    out.emplace_back(commit_effect{.op = m_pendingOp, .change = std::move(change)});
}

/// Lets peers release their copies, because the records are in the table service.
void usage_batcher::releaseBatch()
{
    m_ledger.releaseCommitted(m_batch->committed);
    m_batch.reset();
}

void usage_batcher::requestFlush()
{
    m_nextFlush = instant();
}

void usage_batcher::applyCommitOutcome(commit_outcome outcome, std::vector<control_effect> &out)
{
    if (outcome == commit_outcome::Committed) {
        std::ranges::move(m_batch->records, std::back_inserter(m_batch->committed));
        releaseBatch();
    } else if (outcome == commit_outcome::Conflict) {
        read(step::ReadWindow, windowKey(m_cell, m_batch->window), out);
    }
    // For any other outcome, the writer row is read again at the next tick and shows which records were written.
}

/// Skips the records that are already billed, by an earlier attempt of this batch or by another daemon, and writes the others.
void usage_batcher::applyWriterRow(const std::optional<row> &found, std::vector<control_effect> &out)
{
    auto billed = found ? parseUsageWriter(found->value) : usage_writer_row{};
    if (!billed.ok()) {
        LOG_EVERY_N(ERROR, 100) << billed.status().message();
        return;
    }
    auto &records = m_batch->records;
    const auto firstBilled = std::stable_partition(records.begin(), records.end(), [&](const usage_record &record) {
        return !billed->contains(record.number);
    });
    m_batch->committed.insert(m_batch->committed.end(), std::make_move_iterator(firstBilled), std::make_move_iterator(records.end()));
    records.erase(firstBilled, records.end());
    if (m_batch->records.empty()) {
        releaseBatch();
    } else {
        commitBatch(found, *std::move(billed), out);
    }
}

/// Moves the batch to a later window if its window is closed. The writer row still shows whether an earlier attempt took effect in time.
void usage_batcher::applyWindowRow(const std::optional<row> &found)
{
    if (found) {
        m_batch->lateFrom = m_batch->lateFrom.value_or(m_batch->window);
        m_batch->window = std::max(m_window.current, m_batch->window + 1);
    }
}

void usage_batcher::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *done = std::get_if<commit_event>(&event); done != nullptr && done->op == m_pendingOp) {
        m_pendingOp = 0;
        applyCommitOutcome(done->outcome, out);
    } else if (const auto *found = std::get_if<row_read_event>(&event); found != nullptr && found->op == m_pendingOp) {
        m_pendingOp = 0;
        if (!found->result.ok()) {
            return;
        }
        if (m_step == step::ReadWindow) {
            applyWindowRow(*found->result);
        } else {
            applyWriterRow(*found->result, out);
        }
    } else if (std::holds_alternative<tick_event>(event) && m_pendingOp == 0) {
        if (!m_batch) {
            startBatch(now);
        }
        if (m_batch) {
            read(step::ReadWriter, usageWriterKey(m_cell, m_batch->records.front().writer), out);
        }
    }
}

}
