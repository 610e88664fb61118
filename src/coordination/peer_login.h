#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

using proof_bytes = std::vector<std::uint8_t>;

/// The data that a login proof covers. Both nonces are new for each connection, so a recorded proof cannot be replayed.
struct login_challenge
{
    std::string clientId;
    std::string serverId;
    proof_bytes clientNonce;
    proof_bytes serverNonce;
};

enum class login_side {
    Client,
    Server
};

constexpr std::size_t loginNonceBytes = 32;

/// Returns `loginNonceBytes` random bytes. Throws std::runtime_error when the random generator fails.
proof_bytes makeLoginNonce();

/// Returns the HMAC-SHA256, keyed with the cluster secret, of the side, the identifiers and the nonces. The side is included so that a
/// proof cannot be reflected to its sender as the proof of the other side.
proof_bytes loginProof(std::string_view secret, login_side side, const login_challenge &challenge);

/// Compares two proofs in constant time. Empty proofs never match.
bool proofsEqual(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right);

}
