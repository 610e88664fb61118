#pragma once

#include "serving/platform_port.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lacewinglock
{

/// Recent changes of a platform table, kept for daemons that query this one instead of the store.
///
/// Changes are kept in batches, one per answer of the store or a relay, within a fixed number of bytes.
class feed_history
{
public:
    /// Starts again at the version of a snapshot of the whole table. Earlier changes are dropped.
    void reset(const table_changes &snapshot);
    /// Appends the changes after the current version.
    void add(const table_changes &changes);

    /// Table version that the history reaches; 0 before the first reset().
    std::uint64_t version() const;
    /// All changes after version `after`; nothing when some of them were dropped, or when `after` is beyond version(). The result may repeat
    /// changes up to `after`.
    std::optional<table_changes> since(std::uint64_t after) const;
    /// Number of batches kept; consecutive batches without rows count as one.
    std::size_t batchCount() const;

private:
    struct batch
    {
        std::uint64_t from = 0; ///< Version before the changes.
        table_changes changes;
    };

    std::deque<batch> m_batches; ///< Oldest first; each starts at the version where the one before ends.
    std::size_t m_bytes = 0;
    std::uint64_t m_version = 0;
    instant m_requestedAt; ///< When the latest answer was requested.
};

}
