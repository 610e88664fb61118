#include "serving/event_stream.h"

#include <algorithm>
#include <charconv>

namespace lacewinglock
{

namespace
{

struct blank_line
{
    std::size_t end = std::string_view::npos; ///< One past the blank line.
};

// An event ends with a blank line. Lines end with LF or CRLF.
blank_line findBlankLine(std::string_view text)
{
    std::size_t lineStart = 0;
    while (true) {
        const auto newline = text.find('\n', lineStart);
        if (newline == std::string_view::npos) {
            return {};
        }
        const auto line = text.substr(lineStart, newline - lineStart);
        if (line.empty() || line == "\r") {
            return {newline + 1};
        }
        lineStart = newline + 1;
    }
}

std::optional<std::uint64_t> findId(std::string_view event)
{
    for (std::size_t start = 0; start < event.size();) {
        const auto end = std::min(event.find('\n', start), event.size());
        auto line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        if (const auto [idEnd, error] = std::from_chars(line.data(), line.data() + line.size(), id); error == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

}

void event_splitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_begin);
    m_begin = 0;
    m_buffer += bytes;
}

std::optional<stream_event> event_splitter::next()
{
    const auto pending = std::string_view(m_buffer).substr(m_begin);
    const auto [end] = findBlankLine(pending);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    m_begin += end;
    const auto event = pending.substr(0, end);
    return stream_event{event, findId(event)};
}

std::size_t event_splitter::partialBytes() const
{
    return m_buffer.size() - m_begin;
}

}
