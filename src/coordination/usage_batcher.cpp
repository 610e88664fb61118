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
    // Fixed width, so that the key order of a scan is the order of the windows.
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

/// Takes the next records, all of one writer: the own ones at each flush interval, otherwise copies of a writer that has ended.
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
    m_pending = m_nextOp++;
    out.emplace_back(read_row_effect{.op = m_pending, .key = std::move(key)});
}

/// Inserts the batch on condition that its window is open and that nobody has written records of this writer since the row was read.
void usage_batcher::sendBatch(const std::optional<row> &found, usage_writer_row billed, std::vector<control_effect> &out)
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
    m_pending = m_nextOp++;
    out.emplace_back(commit_effect{.op = m_pending, .change = std::move(change)});
}

/// The records are in the table service, so the peers need not hold them any more.
void usage_batcher::finishBatch()
{
    m_ledger.noteCommitted(m_batch->finished);
    m_batch.reset();
}

void usage_batcher::flushSoon()
{
    m_nextFlush = instant();
}

void usage_batcher::takeCommit(commit_outcome outcome, std::vector<control_effect> &out)
{
    if (outcome == commit_outcome::Committed) {
        std::ranges::move(m_batch->records, std::back_inserter(m_batch->finished));
        finishBatch();
    } else if (outcome == commit_outcome::Conflict) {
        read(step::ReadWindow, windowKey(m_cell, m_batch->window), out);
    }
    // In all other cases the writer row, read again at the next tick, tells what took effect.
}

/// Drops the records that are billed already, by an earlier try of this batch or by another daemon, and writes the others.
void usage_batcher::takeWriterRow(const std::optional<row> &found, std::vector<control_effect> &out)
{
    auto billed = found ? parseUsageWriter(found->value) : usage_writer_row{};
    if (!billed.ok()) {
        LOG_EVERY_N(ERROR, 100) << billed.status().message();
        return;
    }
    auto &records = m_batch->records;
    const auto firstDone = std::stable_partition(records.begin(), records.end(), [&](const usage_record &record) {
        return !billed->contains(record.number);
    });
    m_batch->finished.insert(m_batch->finished.end(), std::make_move_iterator(firstDone), std::make_move_iterator(records.end()));
    records.erase(firstDone, records.end());
    if (m_batch->records.empty()) {
        finishBatch();
    } else {
        sendBatch(found, *std::move(billed), out);
    }
}

/// A closed window takes no batch any more, so the batch moves on; the writer row still tells whether an earlier try was in time.
void usage_batcher::takeWindowRow(const std::optional<row> &found)
{
    if (found) {
        m_batch->lateFrom = m_batch->lateFrom.value_or(m_batch->window);
        m_batch->window = std::max(m_window.current, m_batch->window + 1);
    }
}

void usage_batcher::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *done = std::get_if<commit_event>(&event); done != nullptr && done->op == m_pending) {
        m_pending = 0;
        takeCommit(done->outcome, out);
    } else if (const auto *found = std::get_if<row_read_event>(&event); found != nullptr && found->op == m_pending) {
        m_pending = 0;
        if (!found->result.ok()) {
            return;
        }
        if (m_step == step::ReadWindow) {
            takeWindowRow(*found->result);
        } else {
            takeWriterRow(*found->result, out);
        }
    } else if (std::holds_alternative<tick_event>(event) && m_pending == 0) {
        if (!m_batch) {
            startBatch(now);
        }
        if (m_batch) {
            read(step::ReadWriter, usageWriterKey(m_cell, m_batch->records.front().writer), out);
        }
    }
}

}
