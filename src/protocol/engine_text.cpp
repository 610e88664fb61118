#include "protocol/engine_text.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

std::string tokenFromHash(std::uint64_t promptHash, std::uint64_t index)
{
    const auto mixed = XXH3_64bits_withSeed(&index, sizeof index, promptHash);
    std::array<char, 16> text{};
    const int length = std::snprintf(text.data(), text.size(), "%04x ", static_cast<unsigned>(mixed & 0xffffU));
    return {text.data(), static_cast<std::size_t>(length)};
}

}

std::string promptText(const nlohmann::json &body)
{
    if (!body.contains("messages")) {
        return body.value("prompt", "");
    }
    std::string text;
    for (const auto &message : body.at("messages")) {
        text += text.empty() ? "" : "\n";
        text += message.value("content", "");
    }
    return text;
}

std::string engineToken(std::string_view prompt, std::uint64_t index)
{
    return tokenFromHash(XXH3_64bits(prompt.data(), prompt.size()), index);
}

std::string engineText(std::string_view prompt, std::uint64_t count)
{
    const auto hash = XXH3_64bits(prompt.data(), prompt.size());
    std::string text;
    for (std::uint64_t index = 0; index < count; ++index) {
        text += tokenFromHash(hash, index);
    }
    return text;
}

}
