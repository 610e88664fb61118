#include "coordination/answer_checker.h"

#include "protocol/engine_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr std::string_view dataPrefix = "data: ";
constexpr std::size_t tokenBytes = 5; // Length of every token of the stand-in engine.

std::string choiceText(const nlohmann::json &choice)
{
    for (const char *field : {"delta", "message"}) {
        if (choice.contains(field)) {
            return choice.at(field).value("content", "");
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

answer_checker::answer_checker(const nlohmann::json &requestBody, std::uint64_t outputTokens)
    : m_expected(engineText(promptText(requestBody), outputTokens))
{
}

void answer_checker::addStreamBytes(std::string_view bytes, time_point now)
{
    m_partialLine.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = m_partialLine.find('\n', begin)) != std::string::npos; begin = end + 1) {
        parseLine(std::string_view(m_partialLine).substr(begin, end - begin), now);
    }
    m_partialLine.erase(0, begin);
}

void answer_checker::parseLine(std::string_view line, time_point now)
{
    if (!line.starts_with(dataPrefix)) {
        return;
    }
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with("[DONE]")) {
        m_doneMarkSeen = true;
        return;
    }
    const auto chunk = nlohmann::json::parse(line, nullptr, false);
    if (!chunk.is_object()) {
        m_malformed = true;
        return;
    }
    m_errorSeen = m_errorSeen || chunk.contains("error");
    appendText(answerText(chunk), now);
}

void answer_checker::appendText(const std::string &text, time_point now)
{
    if (!text.empty()) {
        m_text += text;
        m_tokenTimes.push_back(now);
    }
}

void answer_checker::setBody(std::string_view body, time_point now)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    m_malformed = !answer.is_object();
    if (!m_malformed) {
        appendText(answerText(answer), now);
        m_doneMarkSeen = true;
    }
}

answer_verdict answer_checker::verdict() const
{
    const auto [received, expected] = std::ranges::mismatch(m_text, m_expected);
    const auto matchingBytes = static_cast<std::size_t>(received - m_text.begin());
    if (m_malformed) {
        return answer_verdict::Incorrect;
    }
    if (matchingBytes < m_text.size()) {
        // A token that belongs earlier in the answer is a repetition; any other is foreign text or follows a gap.
        const auto begin = matchingBytes - matchingBytes % tokenBytes;
        const auto earlier = m_expected.find(m_text.substr(begin, tokenBytes));
        return earlier < begin ? answer_verdict::Duplicated : answer_verdict::Incorrect;
    }
    if (m_doneMarkSeen && expected == m_expected.end()) {
        return answer_verdict::Complete;
    }
    return m_errorSeen ? answer_verdict::Partial : answer_verdict::Truncated;
}

}
