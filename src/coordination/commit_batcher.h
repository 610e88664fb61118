#pragma once

#include "state/table_store.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace lacewinglock
{

/// Group commit for claims: merges the transactions that arrive within `tunables::claimBatchDelay` into one commit, because the table service
/// takes only a few hundred writes per second. Each transaction gets its own outcome. Thread-safe.
class commit_batcher
{
public:
    explicit commit_batcher(const table_store &store);

    /// Blocks until the outcome of this transaction is known.
    commit_outcome commit(const transaction &change);

private:
    struct pending_commit
    {
        const transaction &change;
        commit_outcome outcome = commit_outcome::Unknown;
        bool done = false;
    };

    bool canJoinBatch(const transaction &change) const;
    void commitBatch(const std::vector<pending_commit *> &batch) const;

    const table_store &m_store;
    std::mutex m_mutex;
    std::condition_variable m_batchFinished;
    std::vector<pending_commit *> m_openBatch; ///< The batch that still accepts transactions; the thread of its first member commits it. Guarded by m_mutex.
};

}
