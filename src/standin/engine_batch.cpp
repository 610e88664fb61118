#include "standin/engine_batch.h"

#include "protocol/tunables.h"
#include "standin/fake_server.h"

namespace lacewinglock
{

namespace
{

constexpr double tokensPerBlock = static_cast<double>(tunables::prefixBlockBytes) / tunables::bytesPerToken;
constexpr auto queuePollInterval = std::chrono::milliseconds(2);

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
    if (m_reservedKvTokens + needed > m_rates.kvTokens) {
        return false;
    }
    m_reservedKvTokens += needed;
    return true;
}

void engine_batch::release(const batch_request &request)
{
    const std::lock_guard lock(m_mutex);
    m_reservedKvTokens -= request.promptTokens + request.outputTokens;
}

std::optional<double> engine_batch::prefill(const batch_request &request)
{
    queue_ticket ticket;
    {
        const std::lock_guard lock(m_mutex);
        ticket = {-request.priority, ++m_lastTicket};
        m_waitingPrefills.insert(ticket);
        m_queuedPromptTokens += request.promptTokens;
    }
    std::optional<double> cached;
    while (!(cached = tryStartPrefill(ticket, request))) {
        if (!sleepWhileConnected(fake_clock::now() + queuePollInterval)) {
            endPrefill(ticket, request, false);
            return std::nullopt;
        }
    }
    const bool connected = sleepWhileConnected(fake_clock::now() + fromSeconds((request.promptTokens - *cached) / m_rates.prefillTokensPerSecond));
    {
        const std::lock_guard lock(m_mutex);
        m_prefillRunning = false;
    }
    endPrefill(ticket, request, connected);
    return connected ? cached : std::nullopt;
}

std::optional<double> engine_batch::tryStartPrefill(const queue_ticket &ticket, const batch_request &request)
{
    const std::lock_guard lock(m_mutex);
    if (m_prefillRunning || *m_waitingPrefills.begin() != ticket) {
        return std::nullopt;
    }
    m_prefillRunning = true;
    return static_cast<double>(m_cache.countCached(request.blocks)) * tokensPerBlock;
}

void engine_batch::endPrefill(const queue_ticket &ticket, const batch_request &request, bool completed)
{
    const std::lock_guard lock(m_mutex);
    m_waitingPrefills.erase(ticket);
    m_queuedPromptTokens -= request.promptTokens;
    if (completed) {
        m_cache.store(request.blocks);
    }
}

void engine_batch::beginDecode()
{
    const std::lock_guard lock(m_mutex);
    ++m_decodingStreams;
}

void engine_batch::endDecode()
{
    const std::lock_guard lock(m_mutex);
    --m_decodingStreams;
}

fake_clock::duration engine_batch::decodeStepTime() const
{
    const std::lock_guard lock(m_mutex);
    return fromSeconds((m_rates.decodeStepMs + m_rates.decodeStepMsPerStream * m_decodingStreams) / 1000);
}

batch_load engine_batch::load() const
{
    const std::lock_guard lock(m_mutex);
    return {.queuedPromptTokens = m_queuedPromptTokens, .runningStreams = m_decodingStreams, .freeKvTokens = m_rates.kvTokens - m_reservedKvTokens};
}

}
