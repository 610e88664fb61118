#include "serving/feed_history.h"

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxBytes = 1U << 20U; // Several seconds of changes of a thousand endpoints. A daemon that is further behind queries the store.

std::size_t bytesOf(const table_changes &changes)
{
    std::size_t bytes = 0;
    for (const auto &changed : changes.rows) {
        bytes += sizeof(changed) + changed.key.size() + changed.value.size();
    }
    return bytes;
}

}

void feed_history::reset(const table_changes &snapshot)
{
    m_batches.clear();
    m_bytes = 0;
    m_version = snapshot.version;
    m_requestedAt = snapshot.requestedAt;
}

void feed_history::add(const table_changes &changes)
{
    // The version also rises with changes of other tables. Consecutive batches without rows are merged, or the history would grow without changes.
    const bool merges = changes.rows.empty() && !m_batches.empty() && m_batches.back().changes.rows.empty();
    if (changes.version > m_version && !merges) {
        m_bytes += bytesOf(changes);
        m_batches.push_back({.from = m_version, .changes = changes});
        while (m_bytes > maxBytes && m_batches.size() > 1) {
            m_bytes -= bytesOf(m_batches.front().changes);
            m_batches.pop_front();
        }
    }
    m_version = changes.version;
    m_requestedAt = changes.requestedAt;
}

std::uint64_t feed_history::version() const
{
    return m_version;
}

std::size_t feed_history::batchCount() const
{
    return m_batches.size();
}

std::optional<table_changes> feed_history::since(std::uint64_t after) const
{
    if (m_version == 0 || after > m_version) {
        return std::nullopt;
    }
    table_changes out{.version = m_version, .requestedAt = m_requestedAt};
    std::uint64_t reached = m_version;
    // A batch that starts before `after` is included whole; the receiver applies rows in order, so repeated ones do no harm.
    for (auto batch = m_batches.rbegin(); batch != m_batches.rend() && reached > after; ++batch) {
        reached = batch->from;
        out.rows.insert(out.rows.begin(), batch->changes.rows.begin(), batch->changes.rows.end());
    }
    if (reached > after) {
        return std::nullopt;
    }
    return out;
}

}
