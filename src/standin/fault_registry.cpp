#include "standin/fault_registry.h"

namespace lacewinglock
{

void fault_registry::set(const nlohmann::json &body)
{
    const std::string name = body.at("name");
    const auto value = body.value("value", nlohmann::json(true));
    if (value.is_null() || value == false) {
        clear(name);
        return;
    }
    const auto duration = std::chrono::milliseconds(body.value("duration_ms", 0));
    const auto activeUntil = duration.count() > 0 ? fake_clock::now() + duration : fake_clock::time_point::max();
    const std::lock_guard lock(m_mutex);
    m_faults[name] = {.value = value, .activeUntil = activeUntil, .remainingUses = body.value("count", -1)};
}

void fault_registry::clear(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_faults.erase(name);
}

const fault_registry::fault *fault_registry::find(const std::string &name) const
{
    const auto found = m_faults.find(name);
    const bool active = found != m_faults.end() && found->second.remainingUses != 0 && fake_clock::now() < found->second.activeUntil;
    return active ? &found->second : nullptr;
}

std::optional<nlohmann::json> fault_registry::consume(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto *active = find(name);
    if (active == nullptr) {
        return std::nullopt;
    }
    auto &consumed = m_faults.at(name);
    consumed.remainingUses -= consumed.remainingUses > 0 ? 1 : 0;
    return consumed.value;
}

std::optional<nlohmann::json> fault_registry::peek(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto *active = find(name);
    return active == nullptr ? std::nullopt : std::optional(active->value);
}

}
