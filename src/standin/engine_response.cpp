#include "standin/engine_response.h"

#include "protocol/engine_text.h"
#include "standin/engine.h"

namespace lacewinglock
{

namespace
{

nlohmann::json usage(const engine_attempt &attempt)
{
    return {{"prompt_tokens", static_cast<std::uint64_t>(attempt.batch.promptTokens)},
            {"completion_tokens", attempt.totalTokens},
            {"cached_tokens", static_cast<std::uint64_t>(attempt.cachedTokens)}};
}

nlohmann::json chunk(const engine_attempt &attempt, std::uint64_t index, const std::string &text)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (attempt.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    nlohmann::json body = {{"id", attempt.id}, {"index", index}, {"choices", nlohmann::json::array({choice})}};
    if (index + 1 >= attempt.totalTokens) {
        body["choices"][0]["finish_reason"] = "stop";
        body["usage"] = usage(attempt);
    }
    return body;
}

std::string sseLine(const nlohmann::json &body)
{
    return "data: " + body.dump() + "\n\n";
}

std::vector<std::uint64_t> parseBlocks(const nlohmann::json &body)
{
    std::vector<std::uint64_t> blocks;
    for (const std::string block : body.at("blocks")) {
        blocks.push_back(std::strtoull(block.c_str(), nullptr, 16));
    }
    return blocks;
}

}

std::string tokenEvent(const engine_attempt &attempt, std::uint64_t index)
{
    return sseLine(chunk(attempt, index, engineToken(attempt.prompt, index)));
}

std::string finalEvents(const engine_attempt &attempt)
{
    const auto lastChunk = attempt.firstIndex >= attempt.totalTokens ? sseLine(chunk(attempt, attempt.totalTokens, "")) : std::string();
    return lastChunk + "data: [DONE]\n\n";
}

nlohmann::json completionBody(const engine_attempt &attempt, const std::string &text)
{
    auto body = chunk(attempt, attempt.totalTokens, text);
    body.erase("index");
    if (attempt.chat) {
        body["choices"][0].erase("delta");
        body["choices"][0]["message"] = {{"role", "assistant"}, {"content", text}};
    }
    return body;
}

nlohmann::json exportBlocks(const prefix_cache &cache, const nlohmann::json &body)
{
    auto present = nlohmann::json::array();
    for (const auto block : parseBlocks(body)) {
        if (cache.contains(block)) {
            present.push_back(toHex(block));
        }
    }
    return {{"blocks", present}};
}

nlohmann::json importBlocks(prefix_cache &cache, const nlohmann::json &body)
{
    const auto blocks = parseBlocks(body);
    cache.store(blocks);
    return {{"stored", blocks.size()}};
}

}
