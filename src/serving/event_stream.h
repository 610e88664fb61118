#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// One complete event of a text/event-stream response.
struct stream_event
{
    std::string_view bytes; ///< Includes the terminating blank line. Valid until the next call of event_splitter::feed().
    std::optional<std::uint64_t> id; ///< Value of the "id:" field, when it is a number.
};

/// Splits a byte stream into complete events, so that the caller never gets part of an event when the server stops in the middle of one.
class event_splitter
{
public:
    /// Appends received bytes.
    void feed(std::string_view bytes);
    /// Returns the next complete event, or nullopt when more bytes are needed.
    std::optional<stream_event> next();
    /// Number of bytes of an incomplete event in the buffer.
    std::size_t partialBytes() const;

private:
    std::string m_buffer;
    std::size_t m_begin = 0; ///< Offset in m_buffer of the first byte not yet returned.
};

}
