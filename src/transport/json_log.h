#pragma once

#include <glog/logging.h>
#include <mutex>

namespace lacewinglock
{

/// Writes each glog message as one JSON line on standard error, and turns glog's own files and text lines off.
class json_log final : public google::LogSink
{
public:
    json_log();
    ~json_log() override;
    json_log(const json_log &) = delete;
    json_log &operator=(const json_log &) = delete;

    using google::LogSink::send;
    void send(google::LogSeverity severity,
              const char *fullFilename,
              const char *baseFilename,
              int line,
              const google::LogMessageTime &time,
              const char *message,
              size_t length) override;

private:
    std::mutex m_mutex;
};

}
