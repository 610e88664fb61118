#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// How an answer compares with the engine's deterministic text.
enum class answer_verdict {
    Whole,
    Wrong, ///< Text that doesn't belong to the request.
    Cut, ///< Ended before the last token without saying so.
    Doubled, ///< A token came twice.
    Partial, ///< Ended early with an error that says so.
};

/// Takes the bytes of an answer as they arrive, and checks them.
class answer_check
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    answer_check(const nlohmann::json &requestBody, std::uint64_t outputTokens);

    /// Bytes of a server-sent event stream.
    void takeStream(std::string_view bytes, time_point now);
    /// The body of an answer that is not streamed.
    void takeWhole(std::string_view body, time_point now);

    answer_verdict verdict() const;
    /// Arrival times of the tokens.
    const std::vector<time_point> &arrivals() const
    {
        return m_arrivals;
    }

private:
    void takeLine(std::string_view line, time_point now);
    void takeText(const std::string &text, time_point now);

    std::string m_expected;
    std::string m_pending; // Bytes of an incomplete line.
    std::string m_text;
    bool m_done = false;
    bool m_error = false;
    bool m_malformed = false;
    std::vector<time_point> m_arrivals;
};

}
