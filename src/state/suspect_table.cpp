#include "state/suspect_table.h"

#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

void suspect_table::recordCrash(std::string_view fingerprint, instant now)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries[std::string(fingerprint)];
    entry.fingerprint = fingerprint;
    ++entry.crashes;
    entry.lastCrash = now;
}

void suspect_table::clear(std::string_view fingerprint)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_entries.find(fingerprint); found != m_entries.end()) {
        m_entries.erase(found);
    }
}

int suspect_table::crashes(std::string_view fingerprint, instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now - found->second.lastCrash > tunables::suspectRefusalTime) {
        return 0;
    }
    return found->second.crashes;
}

std::vector<suspect_entry> suspect_table::entries(instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<suspect_entry> live;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (now - entry.lastCrash <= tunables::suspectRefusalTime) {
            live.push_back(entry);
        }
    }
    return live;
}

void suspect_table::merge(std::string_view fingerprint, int crashes, instant now)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries[std::string(fingerprint)];
    entry.fingerprint = fingerprint;
    if (crashes > entry.crashes) {
        entry.crashes = crashes;
        entry.lastCrash = now;
    }
}

}
