#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lacewinglock
{

struct tls_settings
{
    std::string certificateFile; ///< PEM; empty turns TLS off.
    std::string keyFile;
};

/// An address as an IP number and port.
struct socket_address
{
    std::string host = "127.0.0.1";
    int port = 0;
};

/// Settings of one daemon.
struct daemon_settings
{
    std::string instanceId;
    std::string cell = "main";
    std::string failureDomain;
    socket_address caller; ///< Callers and operators.
    socket_address peer; ///< Cap'n Proto RPC.
    socket_address platform;
    std::string clusterSecret; ///< Peers authenticate each other with it.
    std::string operatorTokenHash; ///< SHA-256 of the operator token, hex.
    tls_settings tls;
    int callerThreads = 256;
    std::uint32_t usageWindowSeconds = 60;
    std::uint32_t usageGraceSeconds = 10;
    std::string decisionLog; ///< File for decision lines; empty means standard error.
};

absl::StatusOr<daemon_settings> parseSettings(const nlohmann::json &document);
absl::StatusOr<daemon_settings> loadSettings(const std::string &path);

}
