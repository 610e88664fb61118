#pragma once

#include "standin/prefix_cache.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lacewinglock
{

struct engine_attempt;

/// Server-sent event with one token; the event of the last token also carries finish_reason and usage.
std::string tokenEvent(const engine_attempt &attempt, std::uint64_t index);

/// Server-sent events after the last token: `[DONE]`, preceded by a chunk without text when the attempt had no tokens to send, because that
/// attempt has sent no finish_reason and usage yet.
std::string finalEvents(const engine_attempt &attempt);

/// Response body of a completion that is not streamed.
nlohmann::json completionBody(const engine_attempt &attempt, const std::string &text);

/// Handles the body {blocks:[hex]} of POST /kv/export: returns the requested blocks that are cached.
nlohmann::json exportBlocks(const prefix_cache &cache, const nlohmann::json &body);
/// Handles the body {blocks:[hex]} of POST /kv/import: adds the blocks to the cache and returns their number.
nlohmann::json importBlocks(prefix_cache &cache, const nlohmann::json &body);

}
