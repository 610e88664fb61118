#pragma once

#include "protocol/decisions.h"

#include <deque>
#include <mutex>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Keeps the most recent decision records in memory for operator queries. When the size limit is exceeded, the oldest records are dropped.
/// Thread-safe.
class decision_ring
{
public:
    /// `maxBytes` limits the total size of the records, strings included.
    explicit decision_ring(std::size_t maxBytes);

    void add(const decision_record &record);
    /// The records of one request, oldest first.
    std::vector<decision_record> find(std::string_view requestId) const;

private:
    mutable std::mutex m_mutex;
    std::deque<decision_record> m_records;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
};

}
