#include "coordination/bench_daemon.h"

#include <algorithm>

namespace lacewinglock
{

std::vector<endpoint_view> bench_daemon::endpointViews(const std::vector<bench_engine_attributes> &attributes, const bench_request &request, double nowMs) const
{
    static const engine_estimate noEstimate;
    std::vector<endpoint_view> result;
    for (int engine = 0; engine < static_cast<int>(attributes.size()); ++engine) {
        const auto &attribute = attributes[static_cast<std::size_t>(engine)];
        const auto found = m_estimates.find(engine);
        const auto &estimate = found == m_estimates.end() ? noEstimate : found->second;
        const auto cached = estimate.prefixes.find(request.prefix);
        result.push_back({
            .id = attribute.id,
            .failureDomain = attribute.failureDomain,
            .role = estimate.report.role,
            .reclaimable = attribute.reclaimable,
            .leaving = attribute.leaving,
            .reachable = attribute.reachable,
            .changingRole = attribute.changingRole,
            .reportAgeMs = nowMs - estimate.report.createdMs,
            .queuedPromptTokens = estimate.report.queuedTokens,
            .runningStreams = estimate.report.streams,
            .freeKvTokens = estimate.report.freeKvTokens,
            .ownPromptTokensSince = estimate.current.sentTokens - estimate.atReport.sentTokens,
            .ownStreamsSince = estimate.current.sentStreams - estimate.atReport.sentStreams,
            .ownInFlight = estimate.current.inFlight,
            .cachedPromptTokens = cached != estimate.prefixes.end() ? cached->second * request.prefixTokens : 0,
            .ownInFlightAtReport = estimate.atReport.inFlight,
            .ownPromptTokensWaiting = std::max(0.0, estimate.current.waitingTokens),
            .ownPromptTokensWaitingAtReport = estimate.atReport.waitingTokens,
        });
    }
    return result;
}

void bench_daemon::snapshotCounters(const bench_report &report)
{
    auto &estimate = m_estimates[report.engine];
    estimate.countersByReport[report.createdMs] = estimate.current;
}

void bench_daemon::applyReport(const bench_report &report)
{
    auto &estimate = m_estimates[report.engine];
    estimate.report = report;
    if (const auto counters = estimate.countersByReport.find(report.createdMs); counters != estimate.countersByReport.end()) {
        estimate.atReport = counters->second;
        estimate.countersByReport.erase(estimate.countersByReport.begin(), std::next(counters));
    }
}

void bench_daemon::recordSent(int engine, double expectedTokens, double promptTokens)
{
    auto &own = m_estimates[engine].current;
    ++own.inFlight;
    ++own.sentStreams;
    own.waitingTokens += expectedTokens;
    own.sentTokens += promptTokens;
}

void bench_daemon::recordFirstToken(int engine, double expectedTokens)
{
    m_estimates[engine].current.waitingTokens -= expectedTokens;
}

void bench_daemon::recordFinished(int engine)
{
    --m_estimates[engine].current.inFlight;
}

void bench_daemon::setCached(int engine, int prefix, double weight)
{
    if (weight > 0) {
        m_estimates[engine].prefixes[prefix] = weight;
    } else {
        m_estimates[engine].prefixes.erase(prefix);
    }
}

void bench_daemon::recordLostCacheEvent(int engine)
{
    // A lost event affects one of the prefixes. Halving the weight of all of them, as after a long gap, made the daemons expect full prefills everywhere.
    auto &prefixes = m_estimates[engine].prefixes;
    for (auto &[prefix, weight] : prefixes) {
        weight *= 1 - 1 / (1.0 + static_cast<double>(prefixes.size()));
    }
}

void bench_daemon::clearCachedPrefixes(int engine)
{
    m_estimates[engine].prefixes.clear();
}

}
