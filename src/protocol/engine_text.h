#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

/// The text that the stand-in engine generates: a function of the prompt and the token's index, so that a caller can check a whole answer.
namespace lacewinglock
{

/// The prompt of a completion body, or the contents of the messages of a chat body, joined by newlines.
std::string promptText(const nlohmann::json &body);

/// Text of one output token.
std::string engineToken(std::string_view prompt, std::uint64_t index);

/// The first `count` tokens.
std::string engineText(std::string_view prompt, std::uint64_t count);

}
