#pragma once

#include <glog/logging.h>
#include <mutex>

namespace lacewinglock
{

/// glog sink that writes each message as one line of JSON to standard error. It disables the log files and the text output of glog.
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
