#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// One JSON object on one line, built in place. Numbers are written as numbers, text is escaped.
class log_line
{
public:
    /// `timeMs` is the Unix time; `event` names what happened.
    log_line(std::int64_t timeMs, std::string_view event);

    log_line &add(std::string_view name, std::string_view value);
    log_line &add(std::string_view name, const char *value);
    log_line &add(std::string_view name, std::int64_t value);
    log_line &add(std::string_view name, std::uint64_t value);
    log_line &add(std::string_view name, int value);
    log_line &add(std::string_view name, double value);
    log_line &add(std::string_view name, bool value);
    /// `value` is JSON text already.
    log_line &addRaw(std::string_view name, std::string_view value);

    /// The finished line with its newline.
    std::string take();

private:
    void key(std::string_view name);

    std::string m_text;
};

/// Buffered lines for a file descriptor that is written without ever blocking. When the reader is slow, whole lines are dropped and counted,
/// and the count is written as soon as there is room again.
class line_log
{
public:
    /// Puts the descriptor into non-blocking mode.
    explicit line_log(int descriptor);
    ~line_log();
    line_log(const line_log &) = delete;
    line_log &operator=(const line_log &) = delete;

    void write(log_line &line);
    /// Writes as much as the descriptor takes at once.
    void flush();
    std::uint64_t dropped() const;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

}
