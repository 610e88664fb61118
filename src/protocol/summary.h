#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// What one daemon tells the others several times a second.
struct daemon_summary
{
    struct load
    {
        std::uint64_t endpoint = 0;
        int running = 0;
        double promptTokens = 0;
    };
    struct part_use
    {
        std::uint64_t part = 0;
        std::uint64_t engine = 0;
        double tokens = 0;
        double unshared = 0; ///< Tokens behind the part that no other prompt shares.
    };
    struct suspect
    {
        std::string fingerprint;
        int crashes = 0; ///< 0: the request succeeded.
        std::int64_t ageMs = 0; ///< Of the last crash or of the success.
    };

    std::string sender;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    std::string callerAddress;
    std::string failureDomain;
    bool serving = false;
    bool holdsLease = false; ///< Of the duties that one daemon at a time does.
    std::uint64_t configVersion = 0;
    std::int64_t wallMs = 0;
    double capacity = 1;
    std::vector<load> loads;
    std::vector<part_use> parts;
    std::vector<suspect> suspects;
    std::vector<std::uint64_t> reserved; ///< Engines whose role the sender is changing.
};

std::string encodeSummary(const daemon_summary &summary);
absl::StatusOr<daemon_summary> parseSummary(std::string_view datagram);

}
