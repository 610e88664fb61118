#pragma once

#include "protocol/configuration.h"

#include <string>
#include <string_view>

namespace lacewinglock
{

/// A new key: the text goes to the caller once, the entry into the configuration.
struct created_key
{
    std::string text;
    api_key entry;
};

/// Makes a key with a random secret. Its text is lw_ID_SECRET: the identifier is public and finds the entry without trying every key.
created_key createKey(std::string_view keyId, std::string_view organisation);

/// The text carries something that begins like a key of the configuration, whether its secret is right or not.
bool mentionsKey(const configuration &config, std::string_view text);

/// SHA-256 in lower-case hex.
std::string sha256Hex(std::string_view text);

/// Random bytes from the system in lower-case hex.
std::string randomHex(std::size_t bytes);

/// Compares without an early exit. Lengths are not secret.
bool equalConstantTime(std::string_view left, std::string_view right);

}
