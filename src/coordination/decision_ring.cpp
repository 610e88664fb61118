#include "coordination/decision_ring.h"

#include <algorithm>
#include <iterator>

namespace lacewinglock
{

namespace
{

std::size_t recordBytes(const decision_record &record)
{
    return sizeof(record) + record.id.size() + record.kind.size() + record.requestId.size() + record.input.size() + record.result.size();
}

}

decision_ring::decision_ring(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void decision_ring::add(const decision_record &record)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back(record);
    m_bytes += recordBytes(record);
    while (m_bytes > m_maxBytes && !m_records.empty()) {
        m_bytes -= recordBytes(m_records.front());
        m_records.pop_front();
    }
}

std::vector<decision_record> decision_ring::find(std::string_view requestId) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<decision_record> found;
    std::ranges::copy_if(m_records, std::back_inserter(found), [&](const decision_record &record) {
        return record.requestId == requestId;
    });
    return found;
}

}
