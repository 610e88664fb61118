#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

using proof_bytes = std::vector<std::uint8_t>;

/// Everything a login proof covers. The nonces are fresh per connection, so a recorded proof is useless later.
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

proof_bytes makeLoginNonce();

/// HMAC-SHA256 with the cluster secret over the side, the identifiers and the nonces. The side is covered, so one side's proof
/// can't be sent back as the other's.
proof_bytes loginProof(std::string_view secret, login_side side, const login_challenge &challenge);

/// Comparison in constant time.
bool sameProof(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right);

}
