#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// State that a daemon sends to all others several times a second.
struct daemon_summary
{
    /// Running requests of the sender at one endpoint.
    struct load
    {
        std::uint64_t endpoint = 0;
        int running = 0;
        double promptTokens = 0;
    };
    /// A prefix block of a prompt that was sent to an engine.
    struct prefix_block_use
    {
        std::uint64_t prefixBlock = 0;
        std::uint64_t engine = 0;
        double tokens = 0;
        double unsharedTokens = 0; ///< Prompt tokens after the last shared block; set on one block of each prompt.
    };
    /// A request that crashed engines, or that succeeded after it had been suspected.
    struct suspect
    {
        std::string fingerprint;
        int crashes = 0; ///< 0: the request succeeded.
        std::int64_t ageMs = 0; ///< Time since the last crash or the success.
    };

    std::string sender;
    std::uint64_t sequence = 0; ///< Increases within an incarnation.
    std::uint64_t incarnation = 0;
    std::string callerAddress;
    std::string failureDomain;
    bool serving = false; ///< Ready and not draining.
    bool holdsLease = false; ///< The sender holds the lease of the duties that one daemon does at a time.
    std::uint64_t configVersion = 0;
    std::int64_t wallMs = 0; ///< Wall clock of the sender at sending time.
    double capacity = 1; ///< Relative processor and link capacity of the sender.
    std::vector<load> loads;
    std::vector<prefix_block_use> prefixBlocks;
    std::vector<suspect> suspects;
    std::vector<std::uint64_t> reserved; ///< Hashes of engines whose role the sender is changing.
};

std::string encodeSummary(const daemon_summary &summary);
/// Decodes a datagram of another daemon; InvalidArgument if it is malformed.
absl::StatusOr<daemon_summary> parseSummary(std::string_view datagram);

}
