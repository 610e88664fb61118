#include "coordination/bench_engine.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr double prefillTokensPerMs = 8;
constexpr double decodeStepBaseMs = 20;
constexpr double decodeStepPerStreamMs = 0.2;
constexpr double kvTokens = 150000;
constexpr double prefillOnlyChunkTokens = 512; // Chunk size of an engine that has no streams to decode.

double kvFootprint(const bench_job &job)
{
    return job.promptTokens + job.outputTokens;
}

}

void bench_engine::enqueue(const bench_job &job)
{
    m_queue.push_back(job);
}

void bench_engine::importStream(const bench_job &job)
{
    m_importQueue.push_back(job);
}

/// Reserves KV memory for a job and evicts cached prefixes when too little is free. Returns false when the memory does not suffice.
bool bench_engine::reserveKv(double tokens, std::vector<bench_event> &out)
{
    if (m_streamTokens + tokens > kvTokens) {
        return false;
    }
    while (m_streamTokens + m_cacheTokens + tokens > kvTokens && !m_cache.empty()) {
        out.push_back({.kind = bench_event_kind::Evicted, .prefix = m_cache.front().prefix});
        m_cacheTokens -= m_cache.front().tokens;
        m_cache.pop_front();
    }
    m_streamTokens += tokens;
    return true;
}

/// Prepares the first job of the queue: looks up its cached prefix and reserves KV memory. Returns false when the memory does not suffice.
bool bench_engine::startPrefill(std::vector<bench_event> &out)
{
    auto &job = m_queue.front();
    if (job.uncachedTokens >= 0) {
        return true;
    }
    const auto cached = std::ranges::find(m_cache, job.prefix, &cached_prefix::prefix);
    const bool hit = job.prefix >= 0 && cached != m_cache.end();
    if (hit) {
        std::rotate(cached, cached + 1, m_cache.end());
    }
    if (!reserveKv(kvFootprint(job), out)) {
        return false;
    }
    job.uncachedTokens = std::max(1.0, job.promptTokens - (hit ? job.prefixTokens : 0.0));
    return true;
}

void bench_engine::admitImports()
{
    while (!m_importQueue.empty() && reserveKv(kvFootprint(m_importQueue.front()), m_pending)) {
        m_streams.push_back(m_importQueue.front());
        m_importQueue.pop_front();
    }
}

double bench_engine::beginStep()
{
    admitImports();
    m_chunk = 0;
    m_stepStreams = m_streams.size();
    if (!m_queue.empty() && startPrefill(m_pending)) {
        const double limit = m_stepStreams == 0 ? prefillOnlyChunkTokens : tunables::mixedPrefillChunkTokens;
        m_chunk = std::min(limit, m_queue.front().uncachedTokens);
    }
    const double decodeMs = m_stepStreams == 0 ? 0 : decodeStepBaseMs + decodeStepPerStreamMs * static_cast<double>(m_stepStreams);
    return decodeMs + m_chunk / prefillTokensPerMs;
}

void bench_engine::cachePrefix(const bench_job &job, std::vector<bench_event> &out)
{
    if (job.prefix < 0 || std::ranges::find(m_cache, job.prefix, &cached_prefix::prefix) != m_cache.end()) {
        return;
    }
    while (m_streamTokens + m_cacheTokens + job.prefixTokens > kvTokens && !m_cache.empty()) {
        out.push_back({.kind = bench_event_kind::Evicted, .prefix = m_cache.front().prefix});
        m_cacheTokens -= m_cache.front().tokens;
        m_cache.pop_front();
    }
    if (m_streamTokens + m_cacheTokens + job.prefixTokens <= kvTokens) {
        m_cache.push_back({.prefix = job.prefix, .tokens = job.prefixTokens});
        m_cacheTokens += job.prefixTokens;
        out.push_back({.kind = bench_event_kind::Stored, .prefix = job.prefix});
    }
}

/// Ends the prefill of the first job of the queue, which also delivers the job's first token.
void bench_engine::finishPrefill(std::vector<bench_event> &out)
{
    bench_job job = m_queue.front();
    m_queue.pop_front();
    if (job.poison) {
        out.push_back({.kind = bench_event_kind::Crash, .job = job});
        return;
    }
    const double reserved = kvFootprint(job);
    cachePrefix(job, out);
    ++job.promptTokens; // The KV cache holds the delivered token too.
    --job.outputTokens;
    if (job.decodeEngine >= 0 || job.outputTokens <= 0) {
        m_streamTokens -= reserved;
        out.push_back({.kind = job.outputTokens <= 0 ? bench_event_kind::Done : bench_event_kind::PrefillDone, .job = job});
        return;
    }
    out.push_back({.kind = bench_event_kind::Token, .job = job});
    m_streams.push_back(job);
}

void bench_engine::finishStep(std::vector<bench_event> &out)
{
    std::swap(out, m_pending);
    m_pending.clear();
    std::vector<bench_job> remaining;
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        auto job = m_streams[index];
        if (index < m_stepStreams) {
            ++job.promptTokens;
            --job.outputTokens;
            const bool done = job.outputTokens <= 0;
            out.push_back({.kind = done ? bench_event_kind::Done : bench_event_kind::Token, .job = job});
            if (done) {
                m_streamTokens -= kvFootprint(job);
                continue;
            }
        }
        remaining.push_back(job);
    }
    m_streams = std::move(remaining);
    if (m_chunk > 0) {
        m_queue.front().uncachedTokens -= m_chunk;
        if (m_queue.front().uncachedTokens <= 0) {
            finishPrefill(out);
        }
    }
}

std::vector<bench_job> bench_engine::removeAllJobs()
{
    std::vector<bench_job> all(m_streams);
    all.insert(all.end(), m_queue.begin(), m_queue.end());
    all.insert(all.end(), m_importQueue.begin(), m_importQueue.end());
    m_streams.clear();
    m_queue.clear();
    m_importQueue.clear();
    m_cache.clear();
    m_pending.clear();
    m_streamTokens = 0;
    m_cacheTokens = 0;
    m_chunk = 0;
    m_stepStreams = 0;
    return all;
}

void bench_engine::setRole(endpoint_role role)
{
    m_role = role;
}

bool bench_engine::idle() const
{
    return m_queue.empty() && m_importQueue.empty() && m_streams.empty();
}

endpoint_role bench_engine::role() const
{
    return m_role;
}

double bench_engine::queuedTokens() const
{
    double sum = 0;
    for (const auto &job : m_queue) {
        sum += job.uncachedTokens >= 0 ? job.uncachedTokens : job.promptTokens;
    }
    return sum;
}

int bench_engine::streams() const
{
    return static_cast<int>(m_streams.size() + m_importQueue.size());
}

double bench_engine::freeKvTokens() const
{
    return kvTokens - m_streamTokens;
}

}
