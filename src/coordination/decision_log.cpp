#include "coordination/decision_log.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

decision_log::decision_log(const std::string &path, decision_ring *recent)
    : m_recent(recent)
{
    if (!path.empty()) {
        m_file = std::fopen(path.c_str(), "ae");
        m_ownsFile = m_file != nullptr;
    }
    if (m_file == nullptr) {
        m_file = stderr;
    }
}

decision_log::~decision_log()
{
    if (m_ownsFile) {
        std::fclose(m_file);
    }
}

void decision_log::write(const decision_record &record)
{
    if (m_recent != nullptr) {
        m_recent->add(record);
    }
    const nlohmann::json line = {
        {"decision", record.id},
        {"kind", record.kind},
        {"request", record.requestId},
        {"config_version", record.configVersion},
        {"input", nlohmann::json::parse(record.input, nullptr, false)},
        {"result", nlohmann::json::parse(record.result, nullptr, false)},
    };
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const std::lock_guard lock(m_mutex);
    std::fwrite(text.data(), 1, text.size(), m_file);
    std::fflush(m_file);
}

}
