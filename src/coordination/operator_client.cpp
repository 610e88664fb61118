#include "coordination/operator_client.h"

#include "protocol/errors.h"

#include <absl/strings/ascii.h>
#include <chrono>
#include <fstream>
#include <httplib.h>
#include <iterator>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

constexpr auto connectTimeout = std::chrono::seconds(3);
/// Exceeds the daemon's wait for the majority (`majorityTimeout`) plus its reads from a slow table service.
constexpr auto responseTimeout = std::chrono::seconds(30);

absl::StatusOr<std::string> readToken(const operator_target &target)
{
    std::ifstream file(target.tokenFile);
    if (!file) {
        return makeError(absl::StatusCode::kNotFound, "read token", "local", "--token_file \"" + target.tokenFile + "\" cannot be opened");
    }
    std::string token{std::istreambuf_iterator<char>(file), {}};
    absl::StripAsciiWhitespace(&token);
    return token;
}

absl::StatusCode statusCodeOf(int status)
{
    switch (status) {
    case 400:
        return absl::StatusCode::kInvalidArgument;
    case 401:
        return absl::StatusCode::kUnauthenticated;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 503:
        return absl::StatusCode::kUnavailable;
    default:
        return absl::StatusCode::kUnknown;
    }
}

/// Returns an error with the daemon's message and the other fields of the response, such as the nonce or the differing paths.
absl::Status errorStatus(const operator_target &target, const std::string &path, int status, const json &body)
{
    std::string message = "status " + std::to_string(status);
    if (body.is_object()) {
        if (const json error = body.value("error", json::object()); error.is_object() && error.contains("message")) {
            message = error["message"];
        }
        for (const auto &[name, value] : body.items()) {
            if (name != "error") {
                message.append("\n  ").append(name).append(": ").append(value.dump());
            }
        }
    }
    return makeError(statusCodeOf(status), path, target.server, message);
}

template <typename Call>
absl::StatusOr<json> request(const operator_target &target, const std::string &path, Call call)
{
    const auto token = readToken(target);
    if (!token.ok()) {
        return token.status();
    }
    httplib::Client client(target.server);
    if (!client.is_valid()) {
        return makeError(absl::StatusCode::kInvalidArgument, path, target.server, "--server must be http://IP:port or https://IP:port");
    }
    client.set_bearer_token_auth(*token);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(responseTimeout);
    client.set_write_timeout(responseTimeout);
    if (!target.caFile.empty()) {
        client.set_ca_cert_path(target.caFile);
    }
    client.enable_server_certificate_verification(true);
    const httplib::Result response = call(client);
    if (!response) {
        return makeError(absl::StatusCode::kUnavailable, path, target.server, httplib::to_string(response.error()));
    }
    json body = json::parse(response->body, nullptr, false);
    if (response->status != 200) {
        return errorStatus(target, path, response->status, body);
    }
    if (body.is_discarded()) {
        return makeError(absl::StatusCode::kDataLoss, path, target.server, "the response body is not JSON");
    }
    return body;
}

}

absl::StatusOr<json> operatorGet(const operator_target &target, const std::string &path)
{
    return request(target, path, [&](httplib::Client &client) {
        return client.Get(path);
    });
}

absl::StatusOr<json> operatorPost(const operator_target &target, const std::string &path, const json &body)
{
    return request(target, path, [&](httplib::Client &client) {
        return client.Post(path, body.dump(), "application/json");
    });
}

}
