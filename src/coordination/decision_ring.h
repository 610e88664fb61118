#pragma once

#include "protocol/decisions.h"

#include <deque>
#include <mutex>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// The most recent decision records, for questions of operators. Bounded in bytes. Thread-safe.
class decision_ring
{
public:
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
