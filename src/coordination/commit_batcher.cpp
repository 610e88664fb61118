#include "coordination/commit_batcher.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxBatch = 64; // Bounds the work that one conflict makes the batch repeat.

}

commit_batcher::commit_batcher(const table_store &store)
    : m_store(store)
{
}

// Commits together with others or alone. The first of a batch waits for the others and commits for all.
commit_outcome commit_batcher::commit(const transaction &change)
{
    std::unique_lock lock(m_mutex);
    if (!fits(change)) {
        lock.unlock();
        return m_store.commit(change);
    }
    pending own{.change = change};
    m_open.push_back(&own);
    if (m_open.size() > 1) {
        m_finished.wait(lock, [&] {
            return own.done;
        });
        return own.outcome;
    }
    lock.unlock();
    std::this_thread::sleep_for(tunables::claimBatchDelay);
    lock.lock();
    const auto batch = std::exchange(m_open, {});
    lock.unlock();
    run(batch);
    lock.lock();
    for (auto *member : batch) {
        member->done = true;
    }
    lock.unlock();
    m_finished.notify_all();
    return own.outcome;
}

// Two changes of one row never share a batch: the later write would hide the other, and both would be told that they committed.
bool commit_batcher::fits(const transaction &change) const
{
    if (m_open.size() >= maxBatch) {
        return false;
    }
    return std::ranges::none_of(m_open, [&](const pending *other) {
        return std::ranges::any_of(change.writes, [&](const row_write &write) {
            return std::ranges::find(other->change.writes, write.key, &row_write::key) != other->change.writes.end();
        });
    });
}

// After a conflict nothing of the batch was written, so its members commit one by one.
void commit_batcher::run(const std::vector<pending *> &batch) const
{
    transaction joined;
    for (const auto *member : batch) {
        joined.conditions.insert(joined.conditions.end(), member->change.conditions.begin(), member->change.conditions.end());
        joined.writes.insert(joined.writes.end(), member->change.writes.begin(), member->change.writes.end());
    }
    const commit_outcome outcome = m_store.commit(joined);
    const bool single = outcome == commit_outcome::Conflict && batch.size() > 1;
    for (auto *member : batch) {
        member->outcome = single ? m_store.commit(member->change) : outcome;
    }
}

}
