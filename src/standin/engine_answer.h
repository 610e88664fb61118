#pragma once

#include "standin/prefix_cache.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lacewinglock
{

struct engine_attempt;

/// One SSE line with one token; the last token of the output also carries finish_reason and usage.
std::string tokenLine(const engine_attempt &attempt, std::uint64_t index);

/// What follows the last token: `[DONE]`, and before it a chunk without text when the attempt had no token left to send.
std::string streamEnd(const engine_attempt &attempt);

/// The body of an answer that is not streamed.
nlohmann::json wholeAnswer(const engine_attempt &attempt, const std::string &text);

/// Bodies of POST /kv/export {blocks:[hex]} (answers those that are cached) and /kv/import {blocks:[hex]}.
nlohmann::json exportBlocks(const prefix_cache &cache, const nlohmann::json &body);
nlohmann::json importBlocks(prefix_cache &cache, const nlohmann::json &body);

}
