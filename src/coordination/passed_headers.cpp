#include "coordination/passed_headers.h"

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

// Defined per connection, so the next hop has its own. Alt-Svc would send callers past the daemon.
const name_set &hopByHop()
{
    static const name_set names = {"connection",
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
    return names;
}

// A Connection header names further headers that end at this hop.
name_set namedByConnection(const httplib::Headers &headers)
{
    name_set named;
    for (const auto &[name, value] : headers) {
        if (lower(name) != "connection") {
            continue;
        }
        std::istringstream names(lower(value));
        for (std::string item; std::getline(names, item, ',');) {
            named.insert(std::string(absl::StripAsciiWhitespace(item)));
        }
    }
    return named;
}

// The headers that pass both ways; `stopped` differs by direction.
httplib::Headers endToEnd(const httplib::Headers &headers, const name_set &stopped)
{
    const auto named = namedByConnection(headers);
    httplib::Headers kept;
    for (const auto &[name, value] : headers) {
        const std::string key = lower(name);
        if (!hopByHop().contains(key) && !named.contains(key) && !stopped.contains(key) && !hasControlCharacter(value)) {
            kept.emplace(name, value);
        }
    }
    return kept;
}

bool mayCarryKey(const std::string &name)
{
    constexpr std::array<std::string_view, 7> keyParts = {"auth", "api-key", "apikey", "api_key", "token", "secret", "credential"};
    return std::ranges::any_of(keyParts, [&](std::string_view part) {
        return name.find(part) != std::string::npos;
    });
}

}

httplib::Headers passedToEndpoint(const httplib::Headers &headers)
{
    static const name_set stopped = {"host",
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
    httplib::Headers kept = endToEnd(headers, stopped);
    std::erase_if(kept, [](const auto &item) {
        return mayCarryKey(lower(item.first));
    });
    return kept;
}

std::vector<std::pair<std::string, std::string>> passedToCaller(const httplib::Headers &headers)
{
    static const name_set stopped = {"set-cookie", "set-cookie2", "content-length", "content-type", "x-attempt-id", "x-request-id"};
    const httplib::Headers kept = endToEnd(headers, stopped);
    return {kept.begin(), kept.end()};
}

bool hasControlCharacter(std::string_view text)
{
    return std::ranges::any_of(text, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

std::string lower(const std::string &text)
{
    return absl::AsciiStrToLower(text);
}

}
