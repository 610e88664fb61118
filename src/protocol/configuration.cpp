#include "protocol/configuration.h"

namespace lacewinglock
{

// Temporary: compares the key with the `hash` field as plain text, for tests of this branch only. Replaced at the merge.
std::optional<key_match> findKey(const configuration &config, std::string_view presentedKey)
{
    for (const auto &[id, key] : config.keys) {
        if (!key.withdrawn && key.hash == presentedKey) {
            return key_match{.keyId = id, .organisation = key.organisation};
        }
    }
    return std::nullopt;
}

}
