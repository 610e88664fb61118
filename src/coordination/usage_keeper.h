#pragma once

#include "protocol/control.h"
#include "protocol/usage_writer.h"
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

/// Writes this daemon's usage records into the table service, and the copies that it held for daemons that have left. Each batch is a
/// row that is inserted only while its window is open; a late one moves to the current window. The commit also changes the row of the
/// records' writer (usage_writer_row), which names the records billed so far. So neither a lost answer, nor a daemon that returns after
/// its copies were taken over, nor two peers with copies of one record can bill twice.
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
        std::vector<usage_record> records; ///< Still to be written.
        std::vector<usage_record> finished; ///< In the table service.
    };

    enum class step {
        ReadWriter,
        ReadWindow
    };

    std::string batchKey(std::uint64_t sequence) const;
    void startBatch(instant now);
    void read(step next, std::string key, std::vector<control_effect> &out);
    void sendBatch(const std::optional<row> &found, usage_writer_row billed, std::vector<control_effect> &out);
    void finishBatch();
    void takeCommit(commit_outcome outcome, std::vector<control_effect> &out);
    void takeWriterRow(const std::optional<row> &found, std::vector<control_effect> &out);
    void takeWindowRow(const std::optional<row> &found);

    std::string m_cell;
    usage_ledger &m_ledger;
    window_clock m_window;
    std::optional<batch> m_batch;
    instant m_nextFlush;
    op_id m_nextOp = 1;
    op_id m_pending = 0;
    step m_step = step::ReadWriter;
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
