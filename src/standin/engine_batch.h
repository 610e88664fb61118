#pragma once

#include "standin/prefix_cache.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string_view>

namespace lacewinglock
{

/// Speed and size of a fake engine.
struct engine_rates
{
    double prefillTokensPerSecond = 8000;
    double decodeStepMs = 20; ///< With an almost empty batch.
    double decodeStepMsPerStream = 0.2;
    double kvTokens = 400000;
    std::size_t cacheBlocks = 6000; ///< Of 256 bytes.
};

/// What a request needs of the batch.
struct batch_request
{
    double promptTokens = 0;
    double outputTokens = 0;
    int priority = 0; ///< Larger goes first.
    std::vector<std::uint64_t> blocks;
};

/// Load of the batch at one moment.
struct batch_load
{
    double queuedPromptTokens = 0;
    int runningStreams = 0;
    double freeKvTokens = 0;
};

/// Continuous batching by sleeping: prompts are prefilled one after another in order of priority, streams decode together.
class engine_batch
{
public:
    explicit engine_batch(const engine_rates &rates);

    /// Reserves KV memory; false when there is too little.
    bool reserve(const batch_request &request);
    void release(const batch_request &request);

    /// Waits for the request's turn and its prefill. Returns the cached prompt tokens, or nothing when the caller left.
    std::optional<double> prefill(const batch_request &request);

    /// Streams that decode; their number sets the step time.
    void enterDecode();
    void leaveDecode();
    fake_clock::duration stepTime() const;

    batch_load load() const;

    template <typename Function>
    auto withCache(Function function) const
    {
        const std::lock_guard lock(m_mutex);
        return function(m_cache);
    }

private:
    using turn = std::pair<int, std::uint64_t>;

    std::optional<double> startPrefill(const turn &mine, const batch_request &request);
    void endPrefill(const turn &mine, const batch_request &request, bool done);

    engine_rates m_rates;
    mutable std::mutex m_mutex;
    mutable prefix_cache m_cache;
    std::set<turn> m_waiting;
    bool m_prefilling = false;
    std::uint64_t m_lastTurn = 0;
    double m_reservedTokens = 0;
    double m_queuedTokens = 0;
    int m_decoding = 0;
};

}
