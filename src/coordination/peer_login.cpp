#include "coordination/peer_login.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace lacewinglock
{

namespace
{

// Writes the length before each field, so that no two different challenges have the same bytes.
void appendWithLength(proof_bytes &target, std::span<const std::uint8_t> field)
{
    for (unsigned shift = 0; shift < 32; shift += 8) {
        target.push_back(static_cast<std::uint8_t>(field.size() >> shift));
    }
    target.insert(target.end(), field.begin(), field.end());
}

std::span<const std::uint8_t> toByteSpan(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

}

proof_bytes makeLoginNonce()
{
    proof_bytes nonce(loginNonceBytes);
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("make login nonce [local]: RAND_bytes failed");
    }
    return nonce;
}

proof_bytes loginProof(std::string_view secret, login_side side, const login_challenge &challenge)
{
    proof_bytes message;
    appendWithLength(message, toByteSpan(side == login_side::Client ? "lacewinglock client" : "lacewinglock server"));
    appendWithLength(message, toByteSpan(challenge.clientId));
    appendWithLength(message, toByteSpan(challenge.serverId));
    appendWithLength(message, challenge.clientNonce);
    appendWithLength(message, challenge.serverNonce);
    proof_bytes proof(EVP_MAX_MD_SIZE);
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), message.data(), message.size(), proof.data(), &length);
    proof.resize(length);
    return proof;
}

bool proofsEqual(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right)
{
    return !left.empty() && left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
