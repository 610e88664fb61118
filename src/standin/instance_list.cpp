#include "standin/instance_list.h"

namespace lacewinglock
{

instance_list::instance_list(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

void instance_list::applyChange(const nlohmann::json &instance)
{
    const std::string id = instance.at("id");
    const std::lock_guard lock(m_mutex);
    if (instance.value("gone", false)) {
        m_current.erase(id);
    } else {
        // Fields missing from the change keep their values, so that {id, leaving} is enough to announce a drain.
        m_current[id].update(instance);
        m_current[id]["leaving"] = m_current[id].value("leaving", false);
    }
    auto list = nlohmann::json::array();
    for (const auto &[key, value] : m_current.items()) {
        list.push_back(value);
    }
    m_history.emplace_back(fake_clock::now(), std::move(list));
}

nlohmann::json instance_list::published(bool frozen)
{
    const std::lock_guard lock(m_mutex);
    while (!frozen && !m_history.empty() && m_history.front().first <= fake_clock::now() - m_lag) {
        m_published = std::move(m_history.front().second);
        m_history.pop_front();
    }
    return m_published;
}

}
