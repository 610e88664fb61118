#include "serving/feed_history.h"

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxRows = 2000; // About 1 MB; several seconds of changes of a thousand endpoints. Who is further behind asks the store.

}

void feed_history::restart(const table_changes &whole)
{
    m_steps.clear();
    m_rows = 0;
    m_version = whole.version;
    m_askedAt = whole.askedAt;
}

void feed_history::add(const table_changes &changes)
{
    if (changes.version > m_version) {
        m_rows += changes.rows.size();
        m_steps.push_back({.from = m_version, .changes = changes});
        while (m_rows > maxRows) {
            m_rows -= m_steps.front().changes.rows.size();
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
