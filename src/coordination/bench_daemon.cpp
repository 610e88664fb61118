#include "coordination/bench_daemon.h"

#include <algorithm>

namespace lacewinglock
{

std::vector<endpoint_view> bench_daemon::views(const std::vector<bench_engine_facts> &facts, const bench_request &request, double nowMs) const
{
    static const knowledge unknown;
    std::vector<endpoint_view> result;
    for (int engine = 0; engine < static_cast<int>(facts.size()); ++engine) {
        const auto &fact = facts[static_cast<std::size_t>(engine)];
        const auto found = m_engines.find(engine);
        const auto &known = found == m_engines.end() ? unknown : found->second;
        const auto cached = known.prefixes.find(request.prefix);
        result.push_back({
            .id = fact.id,
            .failureDomain = fact.failureDomain,
            .role = known.report.role,
            .reclaimable = fact.reclaimable,
            .leaving = fact.leaving,
            .reachable = fact.reachable,
            .changingRole = fact.changingRole,
            .reportAgeMs = nowMs - known.report.takenMs,
            .queuedPromptTokens = known.report.queuedTokens,
            .runningStreams = known.report.streams,
            .freeKvTokens = known.report.freeKvTokens,
            .ownPromptTokensSince = known.now.sentTokens - known.atReport.sentTokens,
            .ownStreamsSince = known.now.sentStreams - known.atReport.sentStreams,
            .ownInFlight = known.now.inFlight,
            .cachedPromptTokens = cached != known.prefixes.end() ? cached->second * request.prefixTokens : 0,
            .ownInFlightAtReport = known.atReport.inFlight,
            .ownPromptTokensWaiting = std::max(0.0, known.now.waitingTokens),
            .ownPromptTokensWaitingAtReport = known.atReport.waitingTokens,
        });
    }
    return result;
}

void bench_daemon::markReport(const bench_report &report)
{
    auto &known = m_engines[report.engine];
    known.marks[report.takenMs] = known.now;
}

void bench_daemon::takeReport(const bench_report &report)
{
    auto &known = m_engines[report.engine];
    known.report = report;
    if (const auto mark = known.marks.find(report.takenMs); mark != known.marks.end()) {
        known.atReport = mark->second;
        known.marks.erase(known.marks.begin(), std::next(mark));
    }
}

void bench_daemon::noteSent(int engine, double expectedTokens, double promptTokens)
{
    auto &own = m_engines[engine].now;
    ++own.inFlight;
    ++own.sentStreams;
    own.waitingTokens += expectedTokens;
    own.sentTokens += promptTokens;
}

void bench_daemon::noteFirstToken(int engine, double expectedTokens)
{
    m_engines[engine].now.waitingTokens -= expectedTokens;
}

void bench_daemon::noteFinished(int engine)
{
    --m_engines[engine].now.inFlight;
}

void bench_daemon::setCached(int engine, int prefix, double weight)
{
    if (weight > 0) {
        m_engines[engine].prefixes[prefix] = weight;
    } else {
        m_engines[engine].prefixes.erase(prefix);
    }
}

void bench_daemon::noteGap(int engine)
{
    // One lost event concerns one of the prefixes. Halving all of them, as for a long gap, made daemons expect full prefills everywhere.
    auto &prefixes = m_engines[engine].prefixes;
    for (auto &[prefix, weight] : prefixes) {
        weight *= 1 - 1 / (1.0 + static_cast<double>(prefixes.size()));
    }
}

void bench_daemon::forget(int engine)
{
    m_engines[engine].prefixes.clear();
}

}
