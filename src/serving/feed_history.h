#pragma once

#include "serving/platform_port.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lacewinglock
{

/// The latest changes of a platform table as this daemon took them in, for daemons that don't ask the store themselves.
class feed_history
{
public:
    /// The whole table was read. What went before can't be given out any more.
    void restart(const table_changes &whole);
    /// An answer to a question for the changes after the version held.
    void add(const table_changes &changes);

    /// 0 before the first reading.
    std::uint64_t version() const;
    /// All changes after `after`, as of the last answer; nothing when they are not all kept or not known yet.
    std::optional<table_changes> since(std::uint64_t after) const;
    /// Kept answers; those without rows that follow each other count as one.
    std::size_t steps() const;

private:
    struct step
    {
        std::uint64_t from = 0;
        table_changes changes;
    };

    std::deque<step> m_steps; ///< Each goes on from the one before.
    std::size_t m_bytes = 0;
    std::uint64_t m_version = 0;
    instant m_askedAt;
};

}
