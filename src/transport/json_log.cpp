#include "transport/json_log.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

json_log::json_log()
{
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, "");
    }
    google::SetStderrLogging(google::GLOG_FATAL);
    google::AddLogSink(this);
}

json_log::~json_log()
{
    google::RemoveLogSink(this);
}

void json_log::send(google::LogSeverity severity,
                    const char * /*fullFilename*/,
                    const char *baseFilename,
                    int line,
                    const google::LogMessageTime &time,
                    const char *message,
                    size_t length)
{
    const nlohmann::json entry = {
        {"time", static_cast<std::int64_t>(time.timestamp())},
        {"usec", time.usec()},
        {"level", google::GetLogSeverityName(severity)},
        {"source", std::string(baseFilename) + ":" + std::to_string(line)},
        {"message", std::string(message, length)},
    };
    const std::string text = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const std::lock_guard lock(m_mutex);
    std::fwrite(text.data(), 1, text.size(), stderr);
}

}
