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

/// Number of the current usage window and of the windows that may be closed. The node derives them from the wall clock and the settings.
struct window_clock
{
    std::uint64_t current = 0;
    std::uint64_t firstNotClosable = 0; ///< Windows with lower numbers have ended, including their grace period.
};

/// Writes this daemon's usage records to the table service, and the copies that it holds for daemons that have left the roster. Each batch
/// is a row that is inserted only while its window is open; a late batch moves to the current window. The same commit updates the row of
/// the records' writer (usage_writer_row), which lists the records billed so far. No record is therefore billed twice, even if an answer is
/// lost, if a daemon returns after a peer has written its records, or if two peers hold copies of one record.
class usage_batcher
{
public:
    usage_batcher(std::string cell, std::string daemonId, std::string incarnation, usage_ledger &ledger);

    void setWindow(window_clock window);
    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// Makes the next tick start a batch without waiting for the flush interval. Used while draining.
    void requestFlush();
    /// Returns true when no record is waiting to be written.
    bool idle() const;

private:
    struct batch
    {
        std::uint64_t window = 0;
        std::optional<std::uint64_t> lateFrom; ///< Window that the usage belongs to, if it was closed before the batch committed.
        std::vector<usage_record> records; ///< Not yet in the table service.
        std::vector<usage_record> committed; ///< Already in the table service.
    };

    enum class step {
        ReadWriter,
        ReadWindow
    };

    std::string batchKey(std::uint64_t sequence) const;
    void startBatch(instant now);
    void read(step next, std::string key, std::vector<control_effect> &out);
    void commitBatch(const std::optional<row> &found, usage_writer_row billed, std::vector<control_effect> &out);
    void releaseBatch();
    void applyCommitOutcome(commit_outcome outcome, std::vector<control_effect> &out);
    void applyWriterRow(const std::optional<row> &found, std::vector<control_effect> &out);
    void applyWindowRow(const std::optional<row> &found);

    std::string m_cell;
    usage_ledger &m_ledger;
    window_clock m_window;
    std::optional<batch> m_batch;
    instant m_nextFlush;
    op_id m_nextOp = 1;
    op_id m_pendingOp = 0;
    step m_step = step::ReadWriter;
};

enum class window_state {
    Closed,
    Frozen,
    Sending,
    Reported
};

/// Stored row of one usage window.
struct window_row
{
    window_state state = window_state::Closed;
    std::uint64_t epoch = 0;
    usage_by_organisation figures;
};

std::string formatWindowRow(const window_row &value);
/// Returns DataLoss when the text is not a window row or its state is unknown.
absl::StatusOr<window_row> parseWindowRow(std::string_view text);
std::string windowKey(std::string_view cell, std::uint64_t window);

/// Closes, freezes and reports the usage windows of a cell in order while this daemon holds the lease `usage`. Each step depends only on the
/// stored row, which is read again after each commit whatever its outcome.
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
        FindFirstWindow,
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
    void applyRow(const row_read_event &event);
    void applyScan(const rows_scanned_event &event, std::vector<control_effect> &out);
    void discardGrantState();

    std::string m_cell;
    std::optional<lease_grant> m_grant;
    window_clock m_window;
    op_id m_nextOp = 1;
    op_id m_pendingOp = 0;
    step m_step = step::ReadHead;
    bool m_headRead = false;
    std::optional<row> m_headRow; ///< Holds the number of the next window to close.
    std::uint64_t m_nextWindow = 0;
    std::uint64_t m_unreportedWindow = 0; ///< The last closed window until its state is Reported, otherwise 0.
    std::optional<row> m_unreportedRow;
    std::optional<window_row> m_unreportedValue;
    std::map<std::uint64_t, usage_by_organisation> m_sentFigures; ///< Figures that this process sent, by window, for the invariant check.
};

}
