#pragma once

#include "protocol/control.h"
#include "state/table_store.h"

#include <utility>
#include <vector>

namespace lacewinglock
{

/// Executes the read and commit effects of a control state machine on a table in memory, with the faults that are set.
struct store_executor
{
    memory_table &table;
    bool loseCommitAnswers = false; ///< Commits take effect, but their outcome is reported as Unknown.
    bool down = false; ///< Reads and commits fail as Unavailable, without effect.
    std::vector<transaction> committed{};

    control_event perform(const control_effect &effect)
    {
        if (const auto *read = std::get_if<read_row_effect>(&effect)) {
            if (down) {
                return row_read_event{.op = read->op, .result = absl::UnavailableError("store down")};
            }
            return row_read_event{.op = read->op, .result = table.read(read->key)};
        }
        const auto &commit = std::get<commit_effect>(effect);
        if (down) {
            return commit_event{.op = commit.op, .outcome = commit_outcome::Unavailable};
        }
        const auto outcome = table.commit(commit.change);
        if (outcome == commit_outcome::Committed) {
            committed.push_back(commit.change);
        }
        return commit_event{.op = commit.op, .outcome = loseCommitAnswers ? commit_outcome::Unknown : outcome};
    }

    /// Handles an event and executes all effects that result from it, at one instant.
    template <typename StateMachine>
    void drive(StateMachine &stateMachine, const control_event &event, instant now)
    {
        std::vector<control_event> events{event};
        while (!events.empty()) {
            std::vector<control_effect> effects;
            for (const auto &next : events) {
                stateMachine.handle(next, now, effects);
            }
            events.clear();
            for (const auto &effect : effects) {
                events.push_back(perform(effect));
            }
        }
    }
};

/// The rows of a table, for restoreRows().
inline std::vector<row> copyRows(const memory_table &table)
{
    return *table.scan("", 100000, "");
}

/// Brings the table back to the rows of an older copy. Versions rise, as they do for users of a store whose versions carry its history.
inline void restoreRows(memory_table &table, const std::vector<row> &copy)
{
    transaction change;
    for (const auto &current : copyRows(table)) {
        change.writes.push_back({.key = current.key, .value = std::nullopt});
    }
    table.commit(change);
    change.writes.clear();
    for (const auto &copied : copy) {
        change.writes.push_back({.key = copied.key, .value = copied.value});
    }
    table.commit(change);
}

inline instant at(double seconds)
{
    return instant() + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}
