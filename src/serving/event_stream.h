#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// One whole event of a text/event-stream answer.
struct stream_event
{
    std::string_view bytes; ///< With the blank line at its end. Valid until the splitter is fed again.
    std::optional<std::uint64_t> id;
};

/// Cuts a stream into whole events, so that a server that stops in the middle of one leaves nothing half-sent to the caller.
class event_splitter
{
public:
    /// Adds bytes as they arrived.
    void feed(std::string_view bytes);
    /// The next whole event, if it has arrived.
    std::optional<stream_event> next();
    /// Bytes of an unfinished event wait here.
    bool hasPartial() const;

private:
    std::string m_buffer;
    std::size_t m_begin = 0;
};

}
