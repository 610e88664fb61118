#include "protocol/api_keys.h"

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace lacewinglock
{

namespace
{

constexpr std::string_view keyPrefix = "lw_";
constexpr std::size_t secretBytes = 32;
constexpr std::size_t saltBytes = 16;

/// The last '_' separates identifier and secret: the identifier may contain '_', but the secret is hex.
std::string_view keyIdOf(std::string_view key)
{
    const auto separator = key.rfind('_');
    if (!key.starts_with(keyPrefix) || separator <= keyPrefix.size()) {
        return {};
    }
    return key.substr(keyPrefix.size(), separator - keyPrefix.size());
}

std::string hashKey(std::string_view salt, std::string_view key)
{
    return sha256Hex(std::string(salt).append(key));
}

}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL could not compute SHA-256");
    }
    return absl::BytesToHexString({reinterpret_cast<const char *>(digest.data()), size});
}

std::string randomHex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(buffer.data()), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("OpenSSL could not generate random bytes");
    }
    return absl::BytesToHexString(buffer);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

created_key createKey(std::string_view keyId, std::string_view organisation)
{
    created_key result;
    result.text.append(keyPrefix).append(keyId).append("_").append(randomHex(secretBytes));
    result.entry = {.organisation = std::string(organisation), .salt = randomHex(saltBytes)};
    result.entry.hash = hashKey(result.entry.salt, result.text);
    return result;
}

bool containsApiKey(const configuration &config, std::string_view text)
{
    constexpr std::size_t maxIdBytes = 128; // The longest identifier that the schema allows; bounds the work per occurrence.
    constexpr std::string_view keyCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-.";
    for (auto at = text.find(keyPrefix); at != std::string_view::npos; at = text.find(keyPrefix, at + keyPrefix.size())) {
        auto word = text.substr(at + keyPrefix.size(), maxIdBytes);
        word = word.substr(0, word.find_first_not_of(keyCharacters));
        for (const auto separator : {word.find('_'), word.rfind('_')}) {
            if (separator < word.size() && config.keys.contains(std::string(word.substr(0, separator)))) {
                return true;
            }
        }
    }
    return false;
}

std::optional<key_match> findKey(const configuration &config, std::string_view presentedKey)
{
    // An unknown identifier is hashed and compared against a dummy entry, so that timing does not reveal which identifiers exist.
    static const api_key unknownKey{.salt = std::string(saltBytes * 2, '0'), .hash = std::string(64, '0'), .withdrawn = true};
    const auto found = config.keys.find(std::string(keyIdOf(presentedKey)));
    const api_key &entry = found == config.keys.end() ? unknownKey : found->second;
    const bool matches = equalConstantTime(hashKey(entry.salt, presentedKey), entry.hash);
    if (!matches || entry.withdrawn) {
        return std::nullopt;
    }
    return key_match{.keyId = found->first, .organisation = entry.organisation};
}

}
