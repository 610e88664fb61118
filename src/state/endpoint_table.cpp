#include "state/endpoint_table.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

// Confidence in blocks that this daemon sent itself; eviction at the endpoint is not always announced.
constexpr double ownPrefixWeight = 0.9;
constexpr double missFactor = 0.5; // An answer without cached tokens shows that blocks are evicted early there.
constexpr std::size_t maxTrackedBlocks = 200000; // Per endpoint, about 50 MB of prompts; bounds this daemon's memory.

/// Prompt tokens in the leading blocks that an endpoint is expected to hold, by weight.
double cachedTokensOf(const std::unordered_map<std::uint64_t, double> &cachedBlocks, std::span<const std::uint64_t> promptBlocks)
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
        auto &part = shardOf(id);
        const std::lock_guard lock(part.mutex);
        auto &known = part.entries[id];
        known.settings = settings;
        known.report.endpoint = id;
    }
    for (auto &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (auto &[id, known] : part.entries) {
            if (!endpoints.contains(id)) {
                known.leaving = true;
            }
        }
        std::erase_if(part.entries, [&](const auto &item) {
            return !endpoints.contains(item.first) && item.second.own.now().inFlight == 0;
        });
    }
}

std::optional<endpoint> endpoint_table::find(std::string_view endpointId) const
{
    const auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(std::string(endpointId));
    return found == part.entries.end() ? std::nullopt : std::optional(found->second.settings);
}

void endpoint_table::takeReport(const endpoint_report &report, instant now)
{
    auto &part = shardOf(report.endpoint);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(report.endpoint);
    if (found == part.entries.end()) {
        return;
    }
    auto &known = found->second;
    const instant takenAt = now - fromMs(report.ageMs);
    if (takenAt <= known.reportTakenAt) {
        return;
    }
    known.report = report;
    known.reportTakenAt = takenAt;
    known.reachable = report.reachable;
    known.leaving = known.leaving || report.leaving;
    known.own.markReport(takenAt);
}

void endpoint_table::markLeaving(std::string_view endpointId)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    if (const auto found = part.entries.find(std::string(endpointId)); found != part.entries.end()) {
        found->second.leaving = true;
    }
}

void endpoint_table::markDraining(std::string_view endpointId, instant until)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    if (const auto found = part.entries.find(std::string(endpointId)); found != part.entries.end()) {
        found->second.drainingUntil = std::max(found->second.drainingUntil, until);
    }
}

void endpoint_table::takeDrainNotice(const drain_notice &notice)
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

bool endpoint_table::awaitsOrder(const std::string &endpointId) const
{
    const std::lock_guard lock(m_noticeMutex);
    return std::ranges::find(m_notice.endpoints, endpointId) != m_notice.endpoints.end();
}

void endpoint_table::markUnreachable(std::string_view endpointId, instant now)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    if (const auto found = part.entries.find(std::string(endpointId)); found != part.entries.end()) {
        found->second.reachable = false;
        found->second.reportTakenAt = now;
        found->second.cachedBlocks.clear();
    }
}

std::vector<endpoint_view> endpoint_table::viewGroup(std::string_view group, std::span<const std::uint64_t> promptBlocks, instant now) const
{
    std::vector<endpoint_view> views;
    for (const auto &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (const auto &[id, known] : part.entries) {
            if (known.settings.group != group) {
                continue;
            }
            const auto own = known.own.now();
            views.push_back({
                .id = id,
                .failureDomain = known.settings.failureDomain,
                .role = known.report.role,
                .reclaimable = known.settings.reclaimable,
                .leaving = known.leaving,
                .reachable = known.reachable,
                .reserved = known.reserved,
                .changingRole = known.report.changingRole || now < known.drainingUntil || awaitsOrder(id),
                .reportAgeMs = toMs(now - known.reportTakenAt),
                .queuedPromptTokens = known.report.queuedPromptTokens,
                .runningStreams = known.report.runningStreams,
                .freeKvTokens = known.report.freeKvTokens,
                .ownPromptTokensSince = known.own.promptTokensSince(),
                .ownStreamsSince = known.own.sentSince(),
                .ownInFlight = own.inFlight,
                .cachedPromptTokens = cachedTokensOf(known.cachedBlocks, promptBlocks),
                .prefillTokensPerSecond = known.report.prefillTokensPerSecond,
                .ownInFlightAtReport = known.own.atReport().inFlight,
                .ownPromptTokensWaiting = own.promptTokensWaiting,
                .ownPromptTokensWaitingAtReport = known.own.atReport().promptTokensWaiting,
            });
        }
    }
    std::ranges::sort(views, {}, &endpoint_view::id);
    return views;
}

bool endpoint_table::noteSent(std::string_view endpointId, const sent_attempt &attempt, std::span<const std::uint64_t> promptBlocks, instant now)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(std::string(endpointId));
    if (found == part.entries.end()) {
        return true;
    }
    auto &known = found->second;
    // The daemon may have been paused since it chose the endpoint, so the notices count again right before the request is sent.
    const bool closed = known.leaving || now < known.drainingUntil || awaitsOrder(found->first);
    if (closed || known.reserved || (attempt.alone && known.own.now().inFlight > 0)) {
        return false;
    }
    known.reserved = attempt.alone;
    const double cached = cachedTokensOf(known.cachedBlocks, promptBlocks);
    known.own.sent(attempt.attemptId, attempt.promptTokens, std::max(0.0, attempt.promptTokens - cached), now);
    return true;
}

void endpoint_table::noteFirstToken(std::string_view endpointId, std::string_view attemptId, instant now)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    if (const auto found = part.entries.find(std::string(endpointId)); found != part.entries.end()) {
        found->second.own.firstToken(attemptId, now);
    }
}

void endpoint_table::noteFinished(std::string_view endpointId,
                                  std::string_view attemptId,
                                  std::span<const std::uint64_t> promptBlocks,
                                  double promptTokens,
                                  double cachedTokens,
                                  instant now)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(std::string(endpointId));
    if (found == part.entries.end()) {
        return;
    }
    auto &known = found->second;
    known.own.finished(attemptId, now);
    known.reserved = known.reserved && known.own.now().inFlight > 0;
    if (known.settings.group.empty() || promptTokens <= 0 || now < known.reportTakenAt) {
        return;
    }
    if (known.cachedBlocks.size() + promptBlocks.size() > maxTrackedBlocks) {
        known.cachedBlocks.clear();
    }
    // An answer that reported no cached tokens at all shows that an expected prefix had been evicted before this prompt stored it again.
    const double weight = cachedTokens < 0 ? ownPrefixWeight * missFactor : ownPrefixWeight;
    for (const auto block : promptBlocks) {
        known.cachedBlocks[block] = weight;
    }
}

void endpoint_table::noteCacheEvent(std::string_view endpointId,
                                    std::span<const std::uint64_t> stored,
                                    std::span<const std::uint64_t> evicted,
                                    std::uint64_t lost)
{
    auto &part = shardOf(endpointId);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(std::string(endpointId));
    if (found == part.entries.end()) {
        return;
    }
    auto &blocks = found->second.cachedBlocks;
    if (lost > 0) {
        // Each lost event concerns one block, most likely one of those that are known.
        const auto count = static_cast<double>(blocks.size());
        const double kept = count / (count + static_cast<double>(lost));
        for (auto &[block, weight] : blocks) {
            weight *= kept;
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
    for (const auto &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (const auto &[id, known] : part.entries) {
            endpoint_report report = known.report;
            report.reachable = known.reachable;
            report.leaving = known.leaving;
            report.ageMs = toMs(now - known.reportTakenAt);
            all.push_back(std::move(report));
        }
    }
    std::ranges::sort(all, {}, &endpoint_report::endpoint);
    return all;
}

}
