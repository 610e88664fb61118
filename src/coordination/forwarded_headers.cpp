#include "coordination/forwarded_headers.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <string_view>

namespace lacewinglock
{

namespace
{

using name_set = std::set<std::string, std::less<>>;

// Hop-by-hop headers apply to one connection only. Alt-Svc is included because it would let callers bypass the daemon.
const name_set &hopByHopHeaders()
{
    static const name_set headerNames = {"connection",
                                         "keep-alive",
                                         "proxy-connection",
                                         "te",
                                         "trailer",
                                         "transfer-encoding",
                                         "proxy-authenticate",
                                         "proxy-authorization",
                                         "proxy-authentication-info",
                                         "upgrade",
                                         "alt-svc"};
    return headerNames;
}

// Returns the header names listed in Connection headers; they are hop-by-hop as well.
name_set parseConnectionOptions(const httplib::Headers &headers)
{
    name_set connectionOptions;
    for (const auto &[name, value] : headers) {
        if (toLowerAscii(name) != "connection") {
            continue;
        }
        std::istringstream headerNames(toLowerAscii(value));
        for (std::string item; std::getline(headerNames, item, ',');) {
            connectionOptions.insert(std::string(absl::StripAsciiWhitespace(item)));
        }
    }
    return connectionOptions;
}

// Returns the end-to-end headers except those in `excluded`, which depends on the direction. Values with control characters are dropped.
httplib::Headers selectEndToEnd(const httplib::Headers &headers, const name_set &excluded)
{
    const auto connectionOptions = parseConnectionOptions(headers);
    httplib::Headers result;
    for (const auto &[name, value] : headers) {
        const std::string key = toLowerAscii(name);
        if (!hopByHopHeaders().contains(key) && !connectionOptions.contains(key) && !excluded.contains(key) && !hasControlCharacter(value)) {
            result.emplace(name, value);
        }
    }
    return result;
}

bool mayCarryCredential(const std::string &name)
{
    constexpr std::array<std::string_view, 7> credentialWords = {"auth", "api-key", "apikey", "api_key", "token", "secret", "credential"};
    return std::ranges::any_of(credentialWords, [&](std::string_view word) {
        return name.find(word) != std::string::npos;
    });
}

}

httplib::Headers forwardedRequestHeaders(const httplib::Headers &headers)
{
    static const name_set excluded = {"host",
                                      "expect",
                                      "content-length",
                                      "accept-encoding",
                                      "x-attempt-id",
                                      "remote_addr",
                                      "remote_port",
                                      "local_addr",
                                      "local_port",
                                      "cookie",
                                      "x-deadline-ms",
                                      "idempotency-key"};
    httplib::Headers result = selectEndToEnd(headers, excluded);
    std::erase_if(result, [](const auto &item) {
        return mayCarryCredential(toLowerAscii(item.first));
    });
    return result;
}

std::vector<std::pair<std::string, std::string>> forwardedResponseHeaders(const httplib::Headers &headers)
{
    static const name_set excluded = {"set-cookie", "set-cookie2", "content-length", "content-type", "x-attempt-id", "x-request-id"};
    const httplib::Headers result = selectEndToEnd(headers, excluded);
    return {result.begin(), result.end()};
}

bool hasControlCharacter(std::string_view text)
{
    return std::ranges::any_of(text, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

std::string toLowerAscii(const std::string &text)
{
    return absl::AsciiStrToLower(text);
}

}
