#include "coordination/answer_check.h"

#include "protocol/engine_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr std::string_view dataPrefix = "data: ";
constexpr std::size_t tokenBytes = 5; // Every token of the stand-in engine is this long.

std::string choiceText(const nlohmann::json &choice)
{
    for (const char *holder : {"delta", "message"}) {
        if (choice.contains(holder)) {
            return choice.at(holder).value("content", "");
        }
    }
    return choice.value("text", "");
}

std::string answerText(const nlohmann::json &body)
{
    const auto choices = body.value("choices", nlohmann::json::array());
    return choices.empty() ? std::string() : choiceText(choices.front());
}

}

answer_check::answer_check(const nlohmann::json &requestBody, std::uint64_t outputTokens)
    : m_expected(engineText(promptText(requestBody), outputTokens))
{
}

void answer_check::takeStream(std::string_view bytes, time_point now)
{
    m_pending.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = m_pending.find('\n', begin)) != std::string::npos; begin = end + 1) {
        takeLine(std::string_view(m_pending).substr(begin, end - begin), now);
    }
    m_pending.erase(0, begin);
}

void answer_check::takeLine(std::string_view line, time_point now)
{
    if (!line.starts_with(dataPrefix)) {
        return;
    }
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with("[DONE]")) {
        m_done = true;
        return;
    }
    const auto chunk = nlohmann::json::parse(line, nullptr, false);
    if (!chunk.is_object()) {
        m_malformed = true;
        return;
    }
    m_error = m_error || chunk.contains("error");
    takeText(answerText(chunk), now);
}

void answer_check::takeText(const std::string &text, time_point now)
{
    if (!text.empty()) {
        m_text += text;
        m_arrivals.push_back(now);
    }
}

void answer_check::takeWhole(std::string_view body, time_point now)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    m_malformed = !answer.is_object();
    if (!m_malformed) {
        takeText(answerText(answer), now);
        m_done = true;
    }
}

answer_verdict answer_check::verdict() const
{
    const auto [received, expected] = std::ranges::mismatch(m_text, m_expected);
    const auto same = static_cast<std::size_t>(received - m_text.begin());
    if (m_malformed) {
        return answer_verdict::Wrong;
    }
    if (same < m_text.size()) {
        // A token that belongs earlier in the answer is a repetition; anything else is not ours or leaves a gap.
        const auto begin = same - same % tokenBytes;
        const auto earlier = m_expected.find(m_text.substr(begin, tokenBytes));
        return earlier < begin ? answer_verdict::Doubled : answer_verdict::Wrong;
    }
    if (m_done && expected == m_expected.end()) {
        return answer_verdict::Whole;
    }
    return m_error ? answer_verdict::Partial : answer_verdict::Cut;
}

}
