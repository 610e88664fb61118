#pragma once

#include "protocol/configuration.h"
#include "protocol/decisions.h"
#include "protocol/endpoint_report.h"
#include "state/drain_notice.h"
#include "state/own_requests.h"
#include "transport/core_time.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// An attempt as the endpoint table counts it.
struct sent_attempt
{
    std::string_view attemptId;
    double promptTokens = 0;
    bool alone = false; ///< Reserves the endpoint until it has finished, for a request that may crash it.
};

/// What this daemon knows of the endpoints: their reports, what it sent them since, and which prompt prefixes they cache.
/// State is kept in shards by endpoint, each under its own lock.
class endpoint_table
{
public:
    /// Aligns the table with the configuration: adds new endpoints and marks removed ones as leaving.
    void configure(const configuration &config);
    /// The same for the endpoints of the configuration and those that the platform granted.
    void configure(const std::map<std::string, endpoint> &endpoints);
    /// Settings of an endpoint; empty when it is unknown.
    std::optional<endpoint> find(std::string_view endpointId) const;

    /// Takes a load report that was `report.ageMs` old at `now`; older ones than the known one are ignored.
    void takeReport(const endpoint_report &report, instant now);
    void markLeaving(std::string_view endpointId);
    /// The endpoint is about to be given back: it takes no new work until `until`.
    void markDraining(std::string_view endpointId, instant until);
    /// Takes a notice of the holder of the orders, or one that a peer passes on; an older one than the known one is ignored.
    void takeDrainNotice(const drain_notice &notice);
    drain_notice drainNotice() const;
    void markUnreachable(std::string_view endpointId, instant now);

    /// Endpoints of a group with the cache estimate for a prompt given as block hashes.
    std::vector<endpoint_view> viewGroup(std::string_view group, std::span<const std::uint64_t> promptBlocks, instant now) const;

    /// Counts an attempt that is about to be sent to an endpoint; `noteFinished` must follow once. Returns false, and counts nothing, when the
    /// endpoint is leaving, draining or reserved by another attempt, or the attempt must run alone and the endpoint is busy.
    bool noteSent(std::string_view endpointId, const sent_attempt &attempt, std::span<const std::uint64_t> promptBlocks, instant now);
    /// The first token of an attempt came, so its prompt no longer waits.
    void noteFirstToken(std::string_view endpointId, std::string_view attemptId, instant now);
    /// `cachedTokens` is what the answer reported, negative when it reported nothing.
    void noteFinished(std::string_view endpointId,
                      std::string_view attemptId,
                      std::span<const std::uint64_t> promptBlocks,
                      double promptTokens,
                      double cachedTokens,
                      instant now);

    /// Cache events of an endpoint: blocks stored or evicted. `lost` events that are missing lower all estimates of the endpoint in proportion.
    void noteCacheEvent(std::string_view endpointId, std::span<const std::uint64_t> stored, std::span<const std::uint64_t> evicted, std::uint64_t lost);

    std::vector<endpoint_report> reports(instant now) const;

private:
    struct entry
    {
        endpoint settings;
        endpoint_report report;
        instant reportTakenAt;
        bool leaving = false;
        instant drainingUntil;
        bool reachable = true;
        bool reserved = false; ///< The only request in flight must run alone.
        own_requests own;
        std::unordered_map<std::uint64_t, double> cachedBlocks; ///< Block hash to weight, 0 to 1.
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, entry> entries;
    };

    static constexpr std::size_t shardCount = 16;

    shard &shardOf(std::string_view endpointId);
    const shard &shardOf(std::string_view endpointId) const;

    bool awaitsOrder(const std::string &endpointId) const;

    std::array<shard, shardCount> m_shards;
    mutable std::mutex m_noticeMutex;
    drain_notice m_notice;
};

/// Hashes a prompt in blocks, each hash covering all bytes up to the end of its block, so equal hashes mean equal prefixes.
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);

}
