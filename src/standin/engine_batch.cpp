#include "standin/engine_batch.h"

#include "protocol/tunables.h"
#include "standin/fake_server.h"

namespace lacewinglock
{

namespace
{

constexpr double tokensPerBlock = static_cast<double>(tunables::prefixBlockBytes) / tunables::bytesPerToken;
constexpr auto turnCheckInterval = std::chrono::milliseconds(2);

fake_clock::duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<fake_clock::duration>(std::chrono::duration<double>(seconds));
}

}

engine_batch::engine_batch(const engine_rates &rates)
    : m_rates(rates)
    , m_cache(rates.cacheBlocks)
{
}

bool engine_batch::reserve(const batch_request &request)
{
    const std::lock_guard lock(m_mutex);
    const double needed = request.promptTokens + request.outputTokens;
    if (m_reservedTokens + needed > m_rates.kvTokens) {
        return false;
    }
    m_reservedTokens += needed;
    return true;
}

void engine_batch::release(const batch_request &request)
{
    const std::lock_guard lock(m_mutex);
    m_reservedTokens -= request.promptTokens + request.outputTokens;
}

std::optional<double> engine_batch::prefill(const batch_request &request)
{
    turn mine;
    {
        const std::lock_guard lock(m_mutex);
        mine = {-request.priority, ++m_lastTurn};
        m_waiting.insert(mine);
        m_queuedTokens += request.promptTokens;
    }
    std::optional<double> cached;
    while (!(cached = startPrefill(mine, request))) {
        if (!sleepWhileOpen(fake_clock::now() + turnCheckInterval)) {
            endPrefill(mine, request, false);
            return std::nullopt;
        }
    }
    const bool open = sleepWhileOpen(fake_clock::now() + fromSeconds((request.promptTokens - *cached) / m_rates.prefillTokensPerSecond));
    {
        const std::lock_guard lock(m_mutex);
        m_prefilling = false;
    }
    endPrefill(mine, request, open);
    return open ? cached : std::nullopt;
}

std::optional<double> engine_batch::startPrefill(const turn &mine, const batch_request &request)
{
    const std::lock_guard lock(m_mutex);
    if (m_prefilling || *m_waiting.begin() != mine) {
        return std::nullopt;
    }
    m_prefilling = true;
    return static_cast<double>(m_cache.countCached(request.blocks)) * tokensPerBlock;
}

void engine_batch::endPrefill(const turn &mine, const batch_request &request, bool done)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.erase(mine);
    m_queuedTokens -= request.promptTokens;
    if (done) {
        m_cache.store(request.blocks);
    }
}

void engine_batch::enterDecode()
{
    const std::lock_guard lock(m_mutex);
    ++m_decoding;
}

void engine_batch::leaveDecode()
{
    const std::lock_guard lock(m_mutex);
    --m_decoding;
}

fake_clock::duration engine_batch::stepTime() const
{
    const std::lock_guard lock(m_mutex);
    return fromSeconds((m_rates.decodeStepMs + m_rates.decodeStepMsPerStream * m_decoding) / 1000);
}

batch_load engine_batch::load() const
{
    const std::lock_guard lock(m_mutex);
    return {.queuedPromptTokens = m_queuedTokens, .runningStreams = m_decoding, .freeKvTokens = m_rates.kvTokens - m_reservedTokens};
}

}
