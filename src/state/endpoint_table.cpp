#include "state/endpoint_table.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

// Weight of blocks that this daemon sent itself. It is below 1 because endpoints do not report every eviction.
constexpr double ownPrefixWeight = 0.9;
constexpr double cacheMissFactor = 0.5; // Applied after a response without cached tokens, which shows that the endpoint evicts blocks early.
constexpr std::size_t maxTrackedBlocks = 200000; // Per endpoint, about 50 MB of prompts. Bounds the memory of this daemon.

/// Expected number of prompt tokens that an endpoint caches: the weighted sum over the leading blocks up to the first unknown one.
double estimateCachedTokens(const std::unordered_map<std::uint64_t, double> &cachedBlocks, std::span<const std::uint64_t> promptBlocks)
{
    double tokens = 0;
    for (const auto block : promptBlocks) {
        const auto cached = cachedBlocks.find(block);
        if (cached == cachedBlocks.end()) {
            break;
        }
        tokens += cached->second * static_cast<double>(tunables::prefixBlockBytes) / tunables::bytesPerToken;
    }
    return tokens;
}

}

std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chained = 0;
    while (prompt.size() >= tunables::prefixBlockBytes) {
        chained = XXH3_64bits_withSeed(prompt.data(), tunables::prefixBlockBytes, chained);
        blocks.push_back(chained);
        prompt.remove_prefix(tunables::prefixBlockBytes);
    }
    return blocks;
}

endpoint_table::shard &endpoint_table::shardOf(std::string_view endpointId)
{
    return m_shards[XXH3_64bits(endpointId.data(), endpointId.size()) % shardCount];
}

const endpoint_table::shard &endpoint_table::shardOf(std::string_view endpointId) const
{
    return m_shards[XXH3_64bits(endpointId.data(), endpointId.size()) % shardCount];
}

void endpoint_table::configure(const configuration &config)
{
    configure(config.endpoints);
}

void endpoint_table::configure(const std::map<std::string, endpoint> &endpoints)
{
    for (const auto &[id, settings] : endpoints) {
        auto &lockedShard = shardOf(id);
        const std::lock_guard lock(lockedShard.mutex);
        auto &current = lockedShard.entries[id];
        current.settings = settings;
        current.report.endpoint = id;
    }
    for (auto &lockedShard : m_shards) {
        const std::lock_guard lock(lockedShard.mutex);
        for (auto &[id, current] : lockedShard.entries) {
            if (!endpoints.contains(id)) {
                current.leaving = true;
            }
        }
        std::erase_if(lockedShard.entries, [&](const auto &item) {
            return !endpoints.contains(item.first) && item.second.own.now().inFlight == 0;
        });
    }
}

std::optional<endpoint> endpoint_table::find(std::string_view endpointId) const
{
    const auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    const auto found = lockedShard.entries.find(std::string(endpointId));
    return found == lockedShard.entries.end() ? std::nullopt : std::optional(found->second.settings);
}

void endpoint_table::applyReport(const endpoint_report &report, instant now)
{
    auto &lockedShard = shardOf(report.endpoint);
    const std::lock_guard lock(lockedShard.mutex);
    const auto found = lockedShard.entries.find(report.endpoint);
    if (found == lockedShard.entries.end()) {
        return;
    }
    auto &current = found->second;
    const instant takenAt = now - fromMs(report.ageMs);
    if (takenAt <= current.reportTakenAt) {
        return;
    }
    current.report = report;
    current.reportTakenAt = takenAt;
    current.reachable = report.reachable;
    current.leaving = current.leaving || report.leaving;
    current.own.recordReport(takenAt);
}

void endpoint_table::markLeaving(std::string_view endpointId)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    if (const auto found = lockedShard.entries.find(std::string(endpointId)); found != lockedShard.entries.end()) {
        found->second.leaving = true;
    }
}

void endpoint_table::markDraining(std::string_view endpointId, instant until)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    if (const auto found = lockedShard.entries.find(std::string(endpointId)); found != lockedShard.entries.end()) {
        found->second.drainingUntil = std::max(found->second.drainingUntil, until);
    }
}

void endpoint_table::applyDrainNotice(const drain_notice &notice)
{
    const std::lock_guard lock(m_noticeMutex);
    if (isNewer(notice, m_notice)) {
        m_notice = notice;
    }
}

drain_notice endpoint_table::drainNotice() const
{
    const std::lock_guard lock(m_noticeMutex);
    return m_notice;
}

bool endpoint_table::isInDrainNotice(const std::string &endpointId) const
{
    const std::lock_guard lock(m_noticeMutex);
    return std::ranges::find(m_notice.endpoints, endpointId) != m_notice.endpoints.end();
}

void endpoint_table::markUnreachable(std::string_view endpointId, instant now)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    if (const auto found = lockedShard.entries.find(std::string(endpointId)); found != lockedShard.entries.end()) {
        found->second.reachable = false;
        found->second.reportTakenAt = now;
        found->second.cachedBlocks.clear();
    }
}

std::vector<endpoint_view> endpoint_table::viewGroup(std::string_view group, std::span<const std::uint64_t> promptBlocks, instant now) const
{
    std::vector<endpoint_view> views;
    for (const auto &lockedShard : m_shards) {
        const std::lock_guard lock(lockedShard.mutex);
        for (const auto &[id, current] : lockedShard.entries) {
            if (current.settings.group != group) {
                continue;
            }
            const auto own = current.own.now();
            views.push_back({
                .id = id,
                .failureDomain = current.settings.failureDomain,
                .role = current.report.role,
                .reclaimable = current.settings.reclaimable,
                .leaving = current.leaving,
                .reachable = current.reachable,
                .reserved = current.reserved,
                .changingRole = current.report.changingRole || now < current.drainingUntil || isInDrainNotice(id),
                .reportAgeMs = toMs(now - current.reportTakenAt),
                .queuedPromptTokens = current.report.queuedPromptTokens,
                .runningStreams = current.report.runningStreams,
                .freeKvTokens = current.report.freeKvTokens,
                .ownPromptTokensSince = current.own.promptTokensSinceReport(),
                .ownStreamsSince = current.own.sentSinceReport(),
                .ownInFlight = own.inFlight,
                .cachedPromptTokens = estimateCachedTokens(current.cachedBlocks, promptBlocks),
                .prefillTokensPerSecond = current.report.prefillTokensPerSecond,
                .ownInFlightAtReport = current.own.atReport().inFlight,
                .ownPromptTokensWaiting = own.promptTokensWaiting,
                .ownPromptTokensWaitingAtReport = current.own.atReport().promptTokensWaiting,
            });
        }
    }
    std::ranges::sort(views, {}, &endpoint_view::id);
    return views;
}

bool endpoint_table::beginAttempt(std::string_view endpointId, const sent_attempt &attempt, std::span<const std::uint64_t> promptBlocks, instant now)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    const auto found = lockedShard.entries.find(std::string(endpointId));
    if (found == lockedShard.entries.end()) {
        return true;
    }
    auto &current = found->second;
    // The process may have been paused since it chose the endpoint, so leaving and draining are checked again right before the send.
    const bool closed = current.leaving || now < current.drainingUntil || isInDrainNotice(found->first);
    if (closed || current.reserved || (attempt.exclusive && current.own.now().inFlight > 0)) {
        return false;
    }
    current.reserved = attempt.exclusive;
    const double cached = estimateCachedTokens(current.cachedBlocks, promptBlocks);
    current.own.recordSent(attempt.attemptId, attempt.promptTokens, std::max(0.0, attempt.promptTokens - cached), now);
    return true;
}

void endpoint_table::recordFirstToken(std::string_view endpointId, std::string_view attemptId, instant now)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    if (const auto found = lockedShard.entries.find(std::string(endpointId)); found != lockedShard.entries.end()) {
        found->second.own.recordFirstToken(attemptId, now);
    }
}

void endpoint_table::endAttempt(std::string_view endpointId,
                                std::string_view attemptId,
                                std::span<const std::uint64_t> promptBlocks,
                                double promptTokens,
                                double cachedTokens,
                                instant now)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    const auto found = lockedShard.entries.find(std::string(endpointId));
    if (found == lockedShard.entries.end()) {
        return;
    }
    auto &current = found->second;
    current.own.recordFinished(attemptId, now);
    current.reserved = current.reserved && current.own.now().inFlight > 0;
    if (current.settings.group.empty() || promptTokens <= 0 || now < current.reportTakenAt) {
        return;
    }
    if (current.cachedBlocks.size() + promptBlocks.size() > maxTrackedBlocks) {
        current.cachedBlocks.clear();
    }
    // A response that reported no cached tokens shows that the expected prefix had been evicted before this prompt stored it again.
    const double weight = cachedTokens < 0 ? ownPrefixWeight * cacheMissFactor : ownPrefixWeight;
    for (const auto block : promptBlocks) {
        current.cachedBlocks[block] = weight;
    }
}

void endpoint_table::applyCacheEvent(std::string_view endpointId,
                                     std::span<const std::uint64_t> stored,
                                     std::span<const std::uint64_t> evicted,
                                     std::uint64_t lostEvents)
{
    auto &lockedShard = shardOf(endpointId);
    const std::lock_guard lock(lockedShard.mutex);
    const auto found = lockedShard.entries.find(std::string(endpointId));
    if (found == lockedShard.entries.end()) {
        return;
    }
    auto &blocks = found->second.cachedBlocks;
    if (lostEvents > 0) {
        // Each lost event concerns one block, most likely one of the tracked blocks.
        const auto count = static_cast<double>(blocks.size());
        const double remainingFraction = count / (count + static_cast<double>(lostEvents));
        for (auto &[block, weight] : blocks) {
            weight *= remainingFraction;
        }
    }
    for (const auto block : stored) {
        blocks[block] = 1;
    }
    for (const auto block : evicted) {
        blocks.erase(block);
    }
}

std::vector<endpoint_report> endpoint_table::reports(instant now) const
{
    std::vector<endpoint_report> all;
    for (const auto &lockedShard : m_shards) {
        const std::lock_guard lock(lockedShard.mutex);
        for (const auto &[id, current] : lockedShard.entries) {
            endpoint_report report = current.report;
            report.reachable = current.reachable;
            report.leaving = current.leaving;
            report.ageMs = toMs(now - current.reportTakenAt);
            all.push_back(std::move(report));
        }
    }
    std::ranges::sort(all, {}, &endpoint_report::endpoint);
    return all;
}

}
