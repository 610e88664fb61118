#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages of the state exchange between daemons (docs/decisions/15-state-exchange.md).
namespace lacewinglock
{

/// Outstanding work at an endpoint.
struct endpoint_load
{
    int running = 0; ///< Requests sent and not yet ended.
    double promptTokens = 0; ///< Prompt tokens sent whose prefill has not ended.

    bool operator==(const endpoint_load &) const = default;
};

/// Load at the endpoint with this hash.
struct load_entry
{
    std::uint64_t endpoint = 0;
    endpoint_load load;

    bool operator==(const load_entry &) const = default;
};

/// A number under a key: of one daemon, or the sum over daemons.
///
/// On its way it keeps the lower 40 bits of the key and 17 binary digits of the value. Only numbers from 0 to maxSum are sent.
struct sum_entry
{
    std::uint64_t key = 0;
    double value = 0; ///< 0 ends the sum of the key.

    bool operator==(const sum_entry &) const = default;
};

constexpr double maxSum = 1e30; ///< A larger number is sent as this one.
constexpr int sumKeyBits = 40;

/// A prefix block of a prompt that was sent to an engine.
struct prefix_use
{
    std::uint64_t prefixBlock = 0;
    std::uint64_t engine = 0; ///< Hash of the engine.
    double tokens = 0;
    double unsharedTokens = 0; ///< Prompt tokens after the last shared block; set on one block of each prompt.

    bool operator==(const prefix_use &) const = default;
};

/// A request, or a part of prompts, that was running when endpoints crashed, or that succeeded after it had been suspected.
struct suspect_report
{
    std::string fingerprint;
    std::vector<std::uint64_t> crashed; ///< Hashes of the endpoint processes that crashed; empty: the request succeeded.
    std::int64_t ageMs = 0; ///< Time since the last crash or refusal, or since the success.
    std::vector<std::int64_t> crashAgesMs; ///< Time since each crash of `crashed`; empty: `ageMs` holds for all.
    std::optional<std::int64_t> successAgeMs; ///< Time since the last success.
};

/// What an endpoint said of itself in an answer to some daemon.
struct notice_report
{
    std::uint64_t endpoint = 0; ///< Hash of the endpoint.
    bool leaving = false;
    std::optional<double> limit; ///< Requests per second from all daemons together; nullopt: it names no limit.
    std::int64_t ageMs = 0; ///< Time since it said so.
};

/// State of a daemon as other daemons see it.
struct daemon_status
{
    bool serving = false; ///< Ready and not draining.
    bool holdsLease = false; ///< Holds the lease of the duties that one daemon does at a time.
    std::int64_t clockDifferenceMs = 0; ///< Wall clock of the daemon minus that of the reporting daemon.
    std::int64_t reportedBefore = 0; ///< Usage of the windows before this one may have been reported; 0 unless the store was restored recently.

    bool operator==(const daemon_status &) const = default;
};

/// A daemon and its state; no state if the daemon is lost.
struct daemon_entry
{
    std::string id;
    std::optional<daemon_status> status;
};

/// How far a reader has read the tables of an aggregator.
struct table_position
{
    std::uint64_t epoch = 0; ///< Of the tables. A new epoch starts at position 0.
    std::uint64_t loads = 0;
    std::uint64_t daemons = 0;
    std::uint64_t prefixUses = 0;
    std::uint64_t sums = 0; ///< In exchange_tables, 0 if no sum has changed.

    bool operator==(const table_position &) const = default;
};

/// State of one daemon, sent to the aggregators of its failure domain.
struct daemon_summary
{
    std::string sender;
    std::uint64_t sequence = 0; ///< Increases within an incarnation.
    std::uint64_t incarnation = 0;
    bool serving = false;
    bool holdsLease = false;
    std::int64_t wallMs = 0; ///< Wall clock of the sender at sending time.
    std::int64_t reportedBefore = 0; ///< As in daemon_status.
    std::vector<load_entry> loads;
    std::vector<prefix_use> prefixUses; ///< Since the last summary.
    std::vector<suspect_report> suspects;
    std::vector<std::uint64_t> reserved; ///< Hashes of engines whose role the sender is changing.
    std::vector<notice_report> notices;
    std::optional<std::vector<sum_entry>> sums; ///< All of the sender's sums; nullopt: those sent before are still right.
    std::uint16_t sumsVersion = 0; ///< Of the newest sums that the sender has sent; 0 if it has sent none.
    std::optional<table_position> poll; ///< Set if the sender asks for the tables of all failure domains.
};

/// Asks an aggregator of another failure domain for the tables of its domain.
struct domain_poll
{
    std::string sender;
    table_position position;
};

/// Asks a daemon whose summary has a version of sums that the sender does not hold to send them again.
struct sums_request
{
    std::string sender;
};

/// Answer of an aggregator to a poll: what changed in its tables after the position of the poll.
struct exchange_tables
{
    std::string sender;
    std::uint64_t sequence = 0; ///< Increases with each answer of the sender.
    std::int64_t wallMs = 0; ///< Wall clock of the sender at sending time.
    std::int64_t ageMs = 0; ///< Age of the oldest part that the tables include.
    bool complete = false; ///< Nothing newer is left to send.
    bool warm = false; ///< The sender has been an aggregator long enough to have received the summaries of all daemons of its domain.
    std::uint64_t startLoads = 0; ///< Positions from which the changes are listed; 0 if the reader's position was of another epoch.
    std::uint64_t startDaemons = 0;
    std::uint64_t startSums = 0;
    table_position position; ///< After applying this message.
    std::vector<load_entry> loads; ///< Sums over daemons, without the polling daemon.
    std::vector<daemon_entry> daemons;
    std::vector<prefix_use> prefixUses;
    std::vector<suspect_report> suspects;
    std::vector<std::uint64_t> reserved;
    std::vector<notice_report> notices;
    std::vector<sum_entry> sums; ///< Sums over daemons that have changed, without the polling daemon.
    bool sumsComplete = false; ///< No newer sum is left to send.
};

using exchange_message = std::variant<daemon_summary, domain_poll, exchange_tables, sums_request>;

std::string encodeExchange(const exchange_message &message);
/// Decodes a datagram of another daemon; InvalidArgument if it is malformed.
absl::StatusOr<exchange_message> parseExchange(std::string_view datagram);

}
