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

/// An attempt that is about to be sent to an endpoint.
struct sent_attempt
{
    std::string_view attemptId;
    double promptTokens = 0;
    bool exclusive = false; ///< Reserves the endpoint until the attempt ends, because the request may crash it.
};

/// State of the endpoints as this daemon sees it: the latest load reports, the attempts this daemon sent since, and an estimate of the prompt
/// prefixes that each endpoint caches. Endpoints are spread over shards, each with its own lock.
class endpoint_table
{
public:
    /// Aligns the table with the configuration: adds new endpoints and marks removed ones as leaving.
    void configure(const configuration &config);
    /// Aligns the table with the endpoints of the configuration together with those that the platform granted.
    void configure(const std::map<std::string, endpoint> &endpoints);
    /// Settings of an endpoint; std::nullopt when the table does not contain it.
    std::optional<endpoint> find(std::string_view endpointId) const;

    /// Stores a load report that was `report.ageMs` old at `now`. A report that is not newer than the stored one is ignored.
    void applyReport(const endpoint_report &report, instant now);
    void markLeaving(std::string_view endpointId);
    /// Excludes the endpoint from new work until `until`, because it is about to be returned to the platform.
    void markDraining(std::string_view endpointId, instant until);
    /// Stores a drain notice from the daemon that issues orders, received directly or through a peer. A notice that is not newer is ignored.
    void applyDrainNotice(const drain_notice &notice);
    drain_notice drainNotice() const;
    /// Marks the endpoint as unreachable and drops its cache estimate.
    void markUnreachable(std::string_view endpointId, instant now);

    /// Endpoints of a group, sorted by id, with the cache estimate for a prompt given as prefix block hashes.
    std::vector<endpoint_view> viewGroup(std::string_view group, std::span<const std::uint64_t> promptBlocks, instant now) const;

    /// Counts an attempt that is about to be sent to an endpoint; `endAttempt` must follow exactly once. Returns false and counts nothing when
    /// the endpoint is leaving, draining or reserved by another attempt, or when the attempt is exclusive and the endpoint is busy.
    bool beginAttempt(std::string_view endpointId, const sent_attempt &attempt, std::span<const std::uint64_t> promptBlocks, instant now);
    /// Records the arrival of the first token, after which the prompt no longer counts as waiting.
    void recordFirstToken(std::string_view endpointId, std::string_view attemptId, instant now);
    /// Ends the count of an attempt and updates the cache estimate. `cachedTokens` is the number that the response reported; negative means none.
    void endAttempt(std::string_view endpointId,
                    std::string_view attemptId,
                    std::span<const std::uint64_t> promptBlocks,
                    double promptTokens,
                    double cachedTokens,
                    instant now);

    /// Applies cache events of an endpoint: blocks stored or evicted. `lostEvents` is the number of events that were missed; they lower all block
    /// weights of the endpoint in proportion.
    void applyCacheEvent(std::string_view endpointId, std::span<const std::uint64_t> stored, std::span<const std::uint64_t> evicted, std::uint64_t lostEvents);

    /// Latest reports of all endpoints, sorted by endpoint, with their ages at `now`.
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
        bool reserved = false; ///< An exclusive attempt is in flight.
        own_requests own;
        std::unordered_map<std::uint64_t, double> cachedBlocks; ///< Block hash -> probability that the endpoint caches the block.
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, entry> entries;
    };

    static constexpr std::size_t shardCount = 16;

    shard &shardOf(std::string_view endpointId);
    const shard &shardOf(std::string_view endpointId) const;

    bool isInDrainNotice(const std::string &endpointId) const;

    std::array<shard, shardCount> m_shards;
    mutable std::mutex m_noticeMutex;
    drain_notice m_notice;
};

/// Hashes the full prefix blocks of a prompt. Each hash covers all bytes up to the end of its block, so equal hashes mean equal prefixes.
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);

}
