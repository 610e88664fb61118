#pragma once

#include "protocol/control.h"
#include "state/usage_ledger.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Which usage window the wall clock is in, and which one may be closed. The node derives it from the settings.
struct window_clock
{
    std::uint64_t current = 0;
    std::uint64_t firstNotClosable = 0; ///< Windows below this one have ended, grace period included.
};

/// Writes this daemon's usage records into the table service. Each batch is a row of its own that is inserted only while its window
/// is open, so a lost answer never bills twice and a late batch moves to the current window.
class usage_batcher
{
public:
    usage_batcher(std::string cell, std::string daemonId, std::string incarnation, usage_ledger &ledger);

    void setWindow(window_clock window);
    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// Starts the next batch without waiting for the flush interval; used while draining.
    void flushSoon();
    /// Nothing is waiting to be written.
    bool idle() const;

private:
    struct batch
    {
        std::uint64_t window = 0;
        std::optional<std::uint64_t> lateFrom; ///< The window the usage belongs to, when that one was closed already.
        std::uint64_t sequence = 0;
        std::vector<usage_record> records;
    };

    std::string batchKey() const;
    void startBatch(instant now);
    void sendBatch(std::vector<control_effect> &out);
    void finishBatch();
    void takeCommit(commit_outcome outcome, std::vector<control_effect> &out);
    void takeBatchRow(const std::optional<row> &found, std::vector<control_effect> &out);
    void takeWindowRow(const std::optional<row> &found);

    std::string m_cell;
    std::string m_writer; ///< Daemon and incarnation; sequence numbers restart with the process.
    usage_ledger &m_ledger;
    window_clock m_window;
    std::optional<batch> m_batch;
    instant m_nextFlush;
    std::uint64_t m_sequence = 0;
    op_id m_nextOp = 1;
    op_id m_pending = 0;
    bool m_readingWindow = false;
};

enum class window_state {
    Closed,
    Frozen,
    Sending,
    Reported
};

/// The row of one usage window.
struct window_row
{
    window_state state = window_state::Closed;
    std::uint64_t epoch = 0;
    usage_by_organisation figures;
    /// Highest batch sequence number per writer that the figures contain. Freezing deletes the batch rows, so this is how a writer
    /// whose commit answer was lost learns that its batch was counted.
    std::map<std::string, std::uint64_t> writers;
};

std::string formatWindowRow(const window_row &value);
absl::StatusOr<window_row> parseWindowRow(std::string_view text);
std::string windowKey(std::string_view cell, std::uint64_t window);

/// Closes, freezes and reports the usage windows of a cell, one after the other, while this daemon holds the lease `usage`.
/// Every step is driven by the stored row: after each commit, whatever its outcome, the row is read again.
class usage_keeper
{
public:
    explicit usage_keeper(std::string cell);

    void setGrant(std::optional<lease_grant> grant);
    void setWindow(window_clock window);
    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

private:
    enum class step {
        ReadHead,
        FindFirst,
        ReadWindow,
        Commit,
        SumBatches,
        Send
    };

    void advance(instant now, std::vector<control_effect> &out);
    void advanceWindow(instant now, std::vector<control_effect> &out);
    void read(step next, std::string key, std::vector<control_effect> &out);
    void commit(transaction change, std::vector<control_effect> &out);
    void commitWindow(const window_row &next, std::vector<control_effect> &out, std::vector<row_write> alsoWrite = {});
    void freeze(const std::vector<row> &batches, std::vector<control_effect> &out);
    void closeNext(std::vector<control_effect> &out);
    void sendReport(instant now, std::vector<control_effect> &out);
    void takeRow(const row_read_event &event);
    void takeScan(const rows_scanned_event &event, std::vector<control_effect> &out);
    void forget();

    std::string m_cell;
    std::optional<lease_grant> m_grant;
    window_clock m_window;
    op_id m_nextOp = 1;
    op_id m_pending = 0;
    step m_step = step::ReadHead;
    bool m_headKnown = false;
    std::optional<row> m_head; ///< Names the next window to close.
    std::uint64_t m_next = 0;
    std::uint64_t m_working = 0; ///< The closed window that is not yet reported.
    std::optional<row> m_workingRow;
    std::optional<window_row> m_workingValue;
    std::map<std::uint64_t, usage_by_organisation> m_sent; ///< Figures sent in this process, for the invariant check.
};

}
