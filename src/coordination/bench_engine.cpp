#include "coordination/bench_engine.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr double prefillTokensPerMs = 8;
constexpr double stepBaseMs = 20;
constexpr double stepPerStreamMs = 0.2;
constexpr double kvTokens = 150000;
constexpr double wholeChunkTokens = 512; // Chunk of an engine without streams.

double footprint(const bench_job &job)
{
    return job.promptTokens + job.outputTokens;
}

}

void bench_engine::enqueue(const bench_job &job)
{
    m_queue.push_back(job);
}

void bench_engine::import(const bench_job &job)
{
    m_imports.push_back(job);
}

/// Takes KV memory for a job, from cached prefixes when none is free.
bool bench_engine::reserve(double tokens, std::vector<bench_event> &out)
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

/// Prepares the first job of the queue: finds its cached part and reserves memory.
bool bench_engine::startPrefill(std::vector<bench_event> &out)
{
    auto &job = m_queue.front();
    if (job.uncachedLeft >= 0) {
        return true;
    }
    const auto cached = std::ranges::find(m_cache, job.prefix, &cached_prefix::prefix);
    const bool hit = job.prefix >= 0 && cached != m_cache.end();
    if (hit) {
        std::rotate(cached, cached + 1, m_cache.end());
    }
    if (!reserve(footprint(job), out)) {
        return false;
    }
    job.uncachedLeft = std::max(1.0, job.promptTokens - (hit ? job.prefixTokens : 0.0));
    return true;
}

void bench_engine::admitImports()
{
    while (!m_imports.empty() && reserve(footprint(m_imports.front()), m_pending)) {
        m_streams.push_back(m_imports.front());
        m_imports.pop_front();
    }
}

double bench_engine::beginStep()
{
    admitImports();
    m_chunk = 0;
    m_stepStreams = m_streams.size();
    if (!m_queue.empty() && startPrefill(m_pending)) {
        const double limit = m_stepStreams == 0 ? wholeChunkTokens : tunables::mixedPrefillChunkTokens;
        m_chunk = std::min(limit, m_queue.front().uncachedLeft);
    }
    const double decodeMs = m_stepStreams == 0 ? 0 : stepBaseMs + stepPerStreamMs * static_cast<double>(m_stepStreams);
    return decodeMs + m_chunk / prefillTokensPerMs;
}

void bench_engine::storePrefix(const bench_job &job, std::vector<bench_event> &out)
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

/// The first token comes with the end of the prefill.
void bench_engine::finishPrefill(std::vector<bench_event> &out)
{
    bench_job job = m_queue.front();
    m_queue.pop_front();
    if (job.poison) {
        out.push_back({.kind = bench_event_kind::Crash, .job = job});
        return;
    }
    const double reserved = footprint(job);
    storePrefix(job, out);
    ++job.promptTokens; // The delivered token joins the KV cache.
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
    std::vector<bench_job> still;
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        auto job = m_streams[index];
        if (index < m_stepStreams) {
            ++job.promptTokens;
            --job.outputTokens;
            const bool done = job.outputTokens <= 0;
            out.push_back({.kind = done ? bench_event_kind::Done : bench_event_kind::Token, .job = job});
            if (done) {
                m_streamTokens -= footprint(job);
                continue;
            }
        }
        still.push_back(job);
    }
    m_streams = std::move(still);
    if (m_chunk > 0) {
        m_queue.front().uncachedLeft -= m_chunk;
        if (m_queue.front().uncachedLeft <= 0) {
            finishPrefill(out);
        }
    }
}

std::vector<bench_job> bench_engine::takeAll()
{
    std::vector<bench_job> all(m_streams);
    all.insert(all.end(), m_queue.begin(), m_queue.end());
    all.insert(all.end(), m_imports.begin(), m_imports.end());
    m_streams.clear();
    m_queue.clear();
    m_imports.clear();
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
    return m_queue.empty() && m_imports.empty() && m_streams.empty();
}

endpoint_role bench_engine::role() const
{
    return m_role;
}

double bench_engine::queuedTokens() const
{
    double sum = 0;
    for (const auto &job : m_queue) {
        sum += job.uncachedLeft >= 0 ? job.uncachedLeft : job.promptTokens;
    }
    return sum;
}

int bench_engine::streams() const
{
    return static_cast<int>(m_streams.size() + m_imports.size());
}

double bench_engine::freeKvTokens() const
{
    return kvTokens - m_streamTokens;
}

}
