#pragma once

#include "state/table_store.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace lacewinglock
{

/// Group commit for claims: joins the commits that arrive within `tunables::claimBatchDelay`, since the table service takes only some
/// hundred writes a second. Each commit gets its own outcome. Thread-safe.
class commit_batcher
{
public:
    explicit commit_batcher(const table_store &store);

    commit_outcome commit(const transaction &change);

private:
    struct pending
    {
        const transaction &change;
        commit_outcome outcome = commit_outcome::Unknown;
        bool done = false;
    };

    bool fits(const transaction &change) const;
    void run(const std::vector<pending *> &batch) const;

    const table_store &m_store;
    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::vector<pending *> m_open; ///< The batch being collected; its first member will commit it.
};

}
