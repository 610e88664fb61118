#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

/// Output text of the stand-in engine. It depends only on the prompt and the token index, so that a caller can verify a complete response.
namespace lacewinglock
{

/// The prompt of a completion request body, or the contents of the messages of a chat request body, joined by newlines.
std::string promptText(const nlohmann::json &body);

/// Text of the output token at an index.
std::string engineToken(std::string_view prompt, std::uint64_t index);

/// Text of the first `count` output tokens.
std::string engineText(std::string_view prompt, std::uint64_t count);

}
