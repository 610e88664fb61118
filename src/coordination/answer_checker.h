#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Result of comparing an answer with the deterministic text that the stand-in engine generates for the request.
enum class answer_verdict {
    Complete, ///< The whole expected text, ended properly.
    Incorrect, ///< Malformed, or text that does not belong to the request or leaves a gap.
    Truncated, ///< Ended before the last token without an error event.
    Duplicated, ///< Repeats a token that was already received.
    Partial, ///< Ended early with an error event.
};

/// Collects an answer as its bytes arrive and compares it with the expected text.
class answer_checker
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    answer_checker(const nlohmann::json &requestBody, std::uint64_t outputTokens);

    /// Appends bytes of a server-sent event stream. Events may be split anywhere.
    void addStreamBytes(std::string_view bytes, time_point now);
    /// Sets the body of an answer that is not streamed.
    void setBody(std::string_view body, time_point now);

    answer_verdict verdict() const;
    /// Arrival time of each event that carried text.
    const std::vector<time_point> &tokenTimes() const
    {
        return m_tokenTimes;
    }

private:
    void parseLine(std::string_view line, time_point now);
    void appendText(const std::string &text, time_point now);

    std::string m_expected;
    std::string m_partialLine; ///< Bytes of an incomplete line.
    std::string m_text;
    bool m_doneMarkSeen = false;
    bool m_errorSeen = false;
    bool m_malformed = false;
    std::vector<time_point> m_tokenTimes;
};

}
