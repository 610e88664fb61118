#include "standin/fault_board.h"

namespace lacewinglock
{

void fault_board::set(const nlohmann::json &body)
{
    const std::string name = body.at("name");
    const auto value = body.value("value", nlohmann::json(true));
    if (value.is_null() || value == false) {
        clear(name);
        return;
    }
    const auto duration = std::chrono::milliseconds(body.value("duration_ms", 0));
    const auto until = duration.count() > 0 ? fake_clock::now() + duration : fake_clock::time_point::max();
    const std::lock_guard lock(m_mutex);
    m_faults[name] = {.value = value, .until = until, .uses = body.value("count", -1)};
}

void fault_board::clear(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_faults.erase(name);
}

const fault_board::fault *fault_board::find(const std::string &name) const
{
    const auto found = m_faults.find(name);
    const bool active = found != m_faults.end() && found->second.uses != 0 && fake_clock::now() < found->second.until;
    return active ? &found->second : nullptr;
}

std::optional<nlohmann::json> fault_board::use(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto *active = find(name);
    if (active == nullptr) {
        return std::nullopt;
    }
    auto &used = m_faults.at(name);
    used.uses -= used.uses > 0 ? 1 : 0;
    return used.value;
}

std::optional<nlohmann::json> fault_board::peek(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto *active = find(name);
    return active == nullptr ? std::nullopt : std::optional(active->value);
}

}
