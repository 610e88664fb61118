#pragma once

#include "protocol/configuration.h"

#include <string>
#include <string_view>

namespace lacewinglock
{

/// A new API key. The text is shown to the caller once; the configuration stores only the entry with its salted hash.
struct created_key
{
    std::string text;
    api_key entry;
};

/// Creates an API key with a random secret. Its text is lw_ID_SECRET; the public identifier selects the entry, so that not every key has to be
/// hashed and compared. Throws std::runtime_error when OpenSSL has no entropy or no SHA-256.
created_key createKey(std::string_view keyId, std::string_view organisation);

/// Returns whether the text contains the beginning of an API key (prefix and identifier) of the configuration, with a valid secret or not.
bool containsApiKey(const configuration &config, std::string_view text);

/// SHA-256 in lower-case hex. Throws std::runtime_error when OpenSSL does not provide it.
std::string sha256Hex(std::string_view text);

/// The given number of cryptographically random bytes in lower-case hex. Throws std::runtime_error when OpenSSL has no entropy.
std::string randomHex(std::size_t bytes);

/// Compares in constant time for equal lengths; lengths are not secret.
bool equalConstantTime(std::string_view left, std::string_view right);

}
