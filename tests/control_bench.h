#pragma once

#include "protocol/control.h"
#include "state/table_store.h"

#include <utility>
#include <vector>

namespace lacewinglock
{

/// Performs the store effects of a machine against a table in memory. Faults are set per call.
struct store_actor
{
    memory_table &table;
    bool loseCommitAnswers = false; ///< Commits take effect but are answered Unknown.
    bool down = false;
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

    /// Feeds an event and all answers that follow from it, at one instant.
    template <typename Machine>
    void drive(Machine &machine, const control_event &event, instant now)
    {
        std::vector<control_event> events{event};
        while (!events.empty()) {
            std::vector<control_effect> effects;
            for (const auto &next : events) {
                machine.handle(next, now, effects);
            }
            events.clear();
            for (const auto &effect : effects) {
                events.push_back(perform(effect));
            }
        }
    }
};

inline instant at(double seconds)
{
    return instant() + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}
