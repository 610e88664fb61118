#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Builder of a log line, which is one JSON object.
class log_line
{
public:
    /// `timeMs` is the Unix time in milliseconds, `event` the name of the event.
    log_line(std::int64_t timeMs, std::string_view event);

    log_line &add(std::string_view name, std::string_view value);
    log_line &add(std::string_view name, const char *value);
    log_line &add(std::string_view name, std::int64_t value);
    log_line &add(std::string_view name, std::uint64_t value);
    log_line &add(std::string_view name, int value);
    log_line &add(std::string_view name, double value);
    log_line &add(std::string_view name, bool value);
    /// Adds `value` unchanged; it must be valid JSON.
    log_line &addRaw(std::string_view name, std::string_view value);

    /// Completes the object and moves out the line with its newline.
    std::string take();

private:
    void key(std::string_view name);

    std::string m_text;
};

/// Buffered log on a file descriptor that never blocks the caller. When the reader of the descriptor is too slow, whole lines are dropped, and
/// the log reports their number as soon as the buffer has room again.
class line_log
{
public:
    /// Sets the descriptor to non-blocking mode.
    explicit line_log(int descriptor);
    ~line_log();
    line_log(const line_log &) = delete;
    line_log &operator=(const line_log &) = delete;

    void write(log_line &line);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

}
