#pragma once

#include "standin/prefix_cache.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string_view>

namespace lacewinglock
{

/// Speed and capacity of a fake engine.
struct engine_rates
{
    double prefillTokensPerSecond = 8000;
    double decodeStepMs = 20; ///< Duration of a decode step without the part that grows with the number of streams.
    double decodeStepMsPerStream = 0.2; ///< Added to the decode step for each stream in the batch.
    double kvTokens = 400000; ///< Capacity of the KV memory.
    std::size_t cacheBlocks = 6000; ///< Capacity of the prefix cache in blocks of 256 bytes of prompt text.
};

/// Resources that a request needs in the batch, and its priority.
struct batch_request
{
    double promptTokens = 0;
    double outputTokens = 0;
    int priority = 0; ///< Requests with a larger value are prefilled first.
    std::vector<std::uint64_t> blocks; ///< Hashes of the prefix blocks of the prompt.
};

/// Snapshot of the load of the batch.
struct batch_load
{
    double queuedPromptTokens = 0;
    int runningStreams = 0;
    double freeKvTokens = 0;
};

/// Simulates continuous batching by sleeping: prompts are prefilled one at a time by priority, streams decode concurrently. Thread-safe.
class engine_batch
{
public:
    explicit engine_batch(const engine_rates &rates);

    /// Reserves KV memory for prompt and output. Returns false when too little is free.
    bool reserve(const batch_request &request);
    /// Returns the reserved KV memory.
    void release(const batch_request &request);

    /// Blocks until the request reaches the head of the queue and its prefill is complete. Returns the number of cached prompt tokens, or
    /// nothing when the caller disconnected.
    std::optional<double> prefill(const batch_request &request);

    /// Adds a stream to the decode batch; the number of streams determines the step time.
    void beginDecode();
    void endDecode();
    fake_clock::duration decodeStepTime() const;

    batch_load load() const;

    /// Calls the function with the prefix cache while the lock is held.
    template <typename Function>
    auto withCache(Function function) const
    {
        const std::lock_guard lock(m_mutex);
        return function(m_cache);
    }

private:
    // Negated priority and arrival number, so that the smallest ticket is served first.
    using queue_ticket = std::pair<int, std::uint64_t>;

    std::optional<double> tryStartPrefill(const queue_ticket &ticket, const batch_request &request);
    void endPrefill(const queue_ticket &ticket, const batch_request &request, bool completed);

    engine_rates m_rates;
    mutable std::mutex m_mutex;
    mutable prefix_cache m_cache;
    std::set<queue_ticket> m_waitingPrefills;
    bool m_prefillRunning = false;
    std::uint64_t m_lastTicket = 0;
    double m_reservedKvTokens = 0;
    double m_queuedPromptTokens = 0;
    int m_decodingStreams = 0;
};

}
