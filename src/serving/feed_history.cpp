#include "serving/feed_history.h"

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxBytes = 1U << 20U; // Several seconds of changes of a thousand endpoints. Who is further behind asks the store.

std::size_t bytesOf(const table_changes &changes)
{
    std::size_t bytes = 0;
    for (const auto &changed : changes.rows) {
        bytes += sizeof(changed) + changed.key.size() + changed.value.size();
    }
    return bytes;
}

}

void feed_history::restart(const table_changes &whole)
{
    m_steps.clear();
    m_bytes = 0;
    m_version = whole.version;
    m_askedAt = whole.askedAt;
}

void feed_history::add(const table_changes &changes)
{
    // The version also rises with changes of other tables; steps without rows are joined.
    const bool joins = changes.rows.empty() && !m_steps.empty() && m_steps.back().changes.rows.empty();
    if (changes.version > m_version && !joins) {
        m_bytes += bytesOf(changes);
        m_steps.push_back({.from = m_version, .changes = changes});
        while (m_bytes > maxBytes && m_steps.size() > 1) {
            m_bytes -= bytesOf(m_steps.front().changes);
            m_steps.pop_front();
        }
    }
    m_version = changes.version;
    m_askedAt = changes.askedAt;
}

std::uint64_t feed_history::version() const
{
    return m_version;
}

std::size_t feed_history::steps() const
{
    return m_steps.size();
}

std::optional<table_changes> feed_history::since(std::uint64_t after) const
{
    if (m_version == 0 || after > m_version) {
        return std::nullopt;
    }
    table_changes out{.version = m_version, .askedAt = m_askedAt};
    std::uint64_t reached = m_version;
    // The rows of a step that begins before `after` are given out again; the reader takes the latest of each key.
    for (auto step = m_steps.rbegin(); step != m_steps.rend() && reached > after; ++step) {
        reached = step->from;
        out.rows.insert(out.rows.begin(), step->changes.rows.begin(), step->changes.rows.end());
    }
    if (reached > after) {
        return std::nullopt;
    }
    return out;
}

}
