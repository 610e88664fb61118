#include "coordination/commit_batcher.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxBatch = 64; // Bounds the number of separate commits after a conflict in the batch.

}

commit_batcher::commit_batcher(const table_store &store)
    : m_store(store)
{
}

// The thread that opens a batch sleeps for the batch delay and then commits for all members. A transaction that cannot join commits alone.
commit_outcome commit_batcher::commit(const transaction &change)
{
    std::unique_lock lock(m_mutex);
    if (!canJoinBatch(change)) {
        lock.unlock();
        return m_store.commit(change);
    }
    pending_commit own{.change = change};
    m_openBatch.push_back(&own);
    if (m_openBatch.size() > 1) {
        m_batchFinished.wait(lock, [&] {
            return own.done;
        });
        return own.outcome;
    }
    lock.unlock();
    std::this_thread::sleep_for(tunables::claimBatchDelay);
    lock.lock();
    const auto batch = std::exchange(m_openBatch, {});
    lock.unlock();
    commitBatch(batch);
    lock.lock();
    for (auto *member : batch) {
        member->done = true;
    }
    lock.unlock();
    m_batchFinished.notify_all();
    return own.outcome;
}

// Two writes to the same row must not share a batch: the later one would overwrite the other, and both would be reported as committed.
bool commit_batcher::canJoinBatch(const transaction &change) const
{
    if (m_openBatch.size() >= maxBatch) {
        return false;
    }
    return std::ranges::none_of(m_openBatch, [&](const pending_commit *other) {
        return std::ranges::any_of(change.writes, [&](const row_write &write) {
            return std::ranges::find(other->change.writes, write.key, &row_write::key) != other->change.writes.end();
        });
    });
}

// A conflict of any member rejects the whole batch without a write, so its members are then committed separately.
void commit_batcher::commitBatch(const std::vector<pending_commit *> &batch) const
{
    transaction merged;
    for (const auto *member : batch) {
        merged.conditions.insert(merged.conditions.end(), member->change.conditions.begin(), member->change.conditions.end());
        merged.writes.insert(merged.writes.end(), member->change.writes.begin(), member->change.writes.end());
    }
    const commit_outcome outcome = m_store.commit(merged);
    const bool commitSeparately = outcome == commit_outcome::Conflict && batch.size() > 1;
    for (auto *member : batch) {
        member->outcome = commitSeparately ? m_store.commit(member->change) : outcome;
    }
}

}
