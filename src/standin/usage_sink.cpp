#include "standin/usage_sink.h"

namespace lacewinglock
{

nlohmann::json usage_sink::recordReport(const nlohmann::json &body)
{
    const std::uint64_t window = body.at("window");
    const std::uint64_t epoch = body.at("epoch");
    const auto windowKey = body.at("cell").get<std::string>() + "/" + std::to_string(window);
    const std::lock_guard lock(m_mutex);
    const auto [entry, isNew] = m_windows.try_emplace(windowKey, body.at("figures"), epoch);
    auto &[figures, highestEpoch] = entry->second;
    const bool differs = figures != body.at("figures");
    const bool stale = epoch < highestEpoch;
    highestEpoch = std::max(highestEpoch, epoch);
    m_conflicts += differs ? 1 : 0;
    m_stale += stale ? 1 : 0;
    auto record = body;
    record["repeated"] = !isNew;
    record["differs"] = differs;
    record["stale"] = stale;
    m_reports.push_back(std::move(record));
    return {{"repeated", !isNew}, {"differs", differs}};
}

nlohmann::json usage_sink::report() const
{
    const std::lock_guard lock(m_mutex);
    return {{"reports", m_reports}, {"conflicts", m_conflicts}, {"stale", m_stale}};
}

}
