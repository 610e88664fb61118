#include "state/config_holder.h"

#include "protocol/invariant.h"

namespace lacewinglock
{

config_holder::config_holder()
    : m_current(std::make_shared<config_snapshot>())
{
}

std::shared_ptr<const config_snapshot> config_holder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

bool config_holder::install(config_snapshot next)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t before = m_current->parsed.version;
    if (next.parsed.version <= before) {
        return false;
    }
    m_current = std::make_shared<const config_snapshot>(std::move(next));
    checkInvariant(m_current->parsed.version > before, invariant::ConfigurationNeverReverts, "installed version is not higher");
    return true;
}

}
