#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Where and as whom the operator command line connects.
struct operator_target
{
    std::string server; ///< http://IP:port or https://IP:port.
    std::string tokenFile;
    std::string caFile; ///< PEM with the certificate authority for https; empty uses the system's.
};

/// Calls the operator interface of one daemon. An answer other than 200 becomes an error with the daemon's message.
absl::StatusOr<nlohmann::json> operatorGet(const operator_target &target, const std::string &path);
absl::StatusOr<nlohmann::json> operatorPost(const operator_target &target, const std::string &path, const nlohmann::json &body);

}
