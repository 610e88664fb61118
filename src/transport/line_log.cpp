#include "transport/line_log.h"

#include <array>
#include <charconv>
#include <cmath>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace lacewinglock
{

namespace
{

constexpr std::size_t flushBytes = 16U << 10U; // Lines are written in batches, because a write call costs about as much as formatting ten lines.
constexpr std::size_t maxBufferBytes = 512U << 10U; // Holds some seconds of lines at full load and takes 0.2 % of the memory of a 260 MB machine.

void appendEscaped(std::string &out, std::string_view value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    out += '"';
    for (const char letter : value) {
        const auto byte = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out += '\\';
            out += letter;
        } else if (byte < 0x20 || byte > 0x7e) {
            out += "\\u00";
            out += digits[byte >> 4U];
            out += digits[byte & 15U];
        } else {
            out += letter;
        }
    }
    out += '"';
}

template <typename Number>
void appendNumber(std::string &out, Number value)
{
    std::array<char, 32> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
    out.append(text.data(), error == std::errc{} ? end : text.data());
}

}

log_line::log_line(std::int64_t timeMs, std::string_view event)
{
    m_text = R"({"ms":)";
    appendNumber(m_text, timeMs);
    add("event", event);
}

void log_line::key(std::string_view name)
{
    m_text += ',';
    appendEscaped(m_text, name);
    m_text += ':';
}

log_line &log_line::add(std::string_view name, std::string_view value)
{
    key(name);
    appendEscaped(m_text, value);
    return *this;
}

log_line &log_line::add(std::string_view name, const char *value)
{
    return add(name, std::string_view(value));
}

log_line &log_line::add(std::string_view name, std::int64_t value)
{
    key(name);
    appendNumber(m_text, value);
    return *this;
}

log_line &log_line::add(std::string_view name, std::uint64_t value)
{
    key(name);
    appendNumber(m_text, value);
    return *this;
}

log_line &log_line::add(std::string_view name, int value)
{
    return add(name, static_cast<std::int64_t>(value));
}

// Rounds to one decimal, which is enough for milliseconds and shares and keeps the lines short.
log_line &log_line::add(std::string_view name, double value)
{
    key(name);
    if (!std::isfinite(value) || std::abs(value) > 1e15) {
        m_text += "null";
        return *this;
    }
    const auto tenths = std::llround(value * 10);
    if (tenths < 0) {
        m_text += '-';
    }
    appendNumber(m_text, std::abs(tenths) / 10);
    if (tenths % 10 != 0) {
        m_text += '.';
        appendNumber(m_text, std::abs(tenths) % 10);
    }
    return *this;
}

log_line &log_line::add(std::string_view name, bool value)
{
    key(name);
    m_text += value ? "true" : "false";
    return *this;
}

log_line &log_line::addRaw(std::string_view name, std::string_view value)
{
    key(name);
    m_text += value;
    return *this;
}

std::string log_line::take()
{
    m_text += "}\n";
    return std::move(m_text);
}

line_log::line_log(int descriptor)
    : m_descriptor(descriptor)
{
    if (const int flags = fcntl(descriptor, F_GETFL); flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

line_log::~line_log()
{
    flush();
}

void line_log::write(log_line &line)
{
    const std::string text = line.take();
    if (m_buffer.size() + text.size() > maxBufferBytes) {
        flush();
    }
    if (m_buffer.size() + text.size() > maxBufferBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_reportedDropped) {
        log_line notice(static_cast<std::int64_t>(std::time(nullptr)) * 1000, "log_lines_dropped");
        notice.add("lines", m_dropped - m_reportedDropped);
        m_buffer += notice.take();
        m_reportedDropped = m_dropped;
    }
    m_buffer += text;
    if (m_buffer.size() >= flushBytes) {
        flush();
    }
}

void line_log::flush()
{
    if (m_buffer.empty()) {
        return;
    }
    // When the pipe is full, the rest stays in the buffer. write() drops new lines once the buffer is full.
    if (const auto written = ::write(m_descriptor, m_buffer.data(), m_buffer.size()); written > 0) {
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t line_log::dropped() const
{
    return m_dropped;
}

}
