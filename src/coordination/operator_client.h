#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Server and credentials that the operator command line uses.
struct operator_target
{
    std::string server; ///< http://IP:port or https://IP:port.
    std::string tokenFile; ///< File with the operator token.
    std::string caFile; ///< PEM file with the certificate authority for https; empty uses the system's authorities.
};

/// Calls the operator interface of one daemon and returns the JSON body. A status other than 200 becomes an error with the daemon's message.
/// Returns NotFound when the token file can't be opened, Unavailable when the daemon can't be reached, DataLoss when the body is not JSON.
absl::StatusOr<nlohmann::json> operatorGet(const operator_target &target, const std::string &path);
absl::StatusOr<nlohmann::json> operatorPost(const operator_target &target, const std::string &path, const nlohmann::json &body);

}
