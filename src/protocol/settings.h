#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lacewinglock
{

struct tls_settings
{
    std::string certificateFile; ///< PEM; empty disables TLS.
    std::string keyFile; ///< PEM.
};

/// An IP address and a port.
struct socket_address
{
    std::string host = "127.0.0.1";
    int port = 0;
};

/// Start-up settings of one daemon.
struct daemon_settings
{
    std::string instanceId;
    std::string cell = "main";
    std::string failureDomain;
    socket_address caller; ///< Listening address for callers and operators.
    socket_address peer; ///< Listening address for Cap'n Proto RPC between daemons.
    socket_address platform; ///< Address of the platform's services.
    std::string clusterSecret; ///< Shared secret with which peers authenticate each other.
    std::string operatorTokenHash; ///< SHA-256 of the operator token, hex.
    tls_settings tls;
    int callerThreads = 256;
    std::uint32_t usageWindowSeconds = 60;
    std::uint32_t usageGraceSeconds = 10; ///< Not longer than the usage window.
    std::string decisionLog; ///< File for the decision log; empty means standard error.
};

/// Returns InvalidArgument with the JSON pointer of the first invalid, missing or unknown field.
absl::StatusOr<daemon_settings> parseSettings(const nlohmann::json &document);
/// Reads a JSON file. Returns NotFound when it cannot be opened, InvalidArgument when it is not JSON, and the errors of parseSettings().
absl::StatusOr<daemon_settings> loadSettings(const std::string &path);

}
