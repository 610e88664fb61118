#include "state/usage_ledger.h"

#include <utility>

namespace lacewinglock
{

void usage_ledger::setReplicate(replicate_function replicate)
{
    const std::lock_guard lock(m_mutex);
    m_replicate = std::move(replicate);
}

bool usage_ledger::add(const usage_record &record)
{
    replicate_function replicate;
    {
        const std::lock_guard lock(m_mutex);
        m_records.push_back(record);
        replicate = m_replicate;
    }
    return replicate && replicate(record);
}

std::vector<usage_record> usage_ledger::take()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_records, {});
}

void usage_ledger::restore(std::vector<usage_record> records)
{
    const std::lock_guard lock(m_mutex);
    m_records.insert(m_records.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
}

std::size_t usage_ledger::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

}
