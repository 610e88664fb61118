#pragma once

#include "protocol/configuration.h"

#include <deque>
#include <vector>

namespace lacewinglock
{

/// One attempt of a request at an engine of the bench.
struct bench_job
{
    int request = 0;
    double promptTokens = 0; ///< With the tokens delivered before a resume.
    double prefixTokens = 0; ///< Shared part of the prompt.
    int prefix = -1; ///< Identifies the shared part; negative when there is none.
    int outputTokens = 0; ///< Still to deliver.
    int decodeEngine = -1; ///< Takes over after the prefill when not negative.
    bool poison = false; ///< Crashes the engine when its prefill ends.
    double uncachedLeft = -1; ///< Prompt tokens to compute; negative before the prefill starts.
};

enum class bench_event_kind {
    Token,
    Done,
    PrefillDone, ///< With a hand-over to another engine.
    Crash,
    Stored,
    Evicted
};

struct bench_event
{
    bench_event_kind kind = bench_event_kind::Token;
    bench_job job;
    int prefix = -1;
};

/// An engine at its interface: continuous batching in steps, prefill in chunks, KV memory shared by streams and cached prefixes.
class bench_engine
{
public:
    explicit bench_engine(endpoint_role role)
        : m_role(role)
    {
    }

    void enqueue(const bench_job &job);
    /// Takes over a stream whose prefill ran elsewhere.
    void import(const bench_job &job);
    /// Starts a step and gives its length in milliseconds, 0 when there is nothing to do.
    double beginStep();
    void finishStep(std::vector<bench_event> &out);
    /// Removes all work, as a crash or reclaim does, and forgets the cache.
    std::vector<bench_job> takeAll();
    void setRole(endpoint_role role);

    bool idle() const;
    endpoint_role role() const;
    double queuedTokens() const;
    int streams() const;
    double freeKvTokens() const;

private:
    struct cached_prefix
    {
        int prefix = -1;
        double tokens = 0;
    };

    bool startPrefill(std::vector<bench_event> &out);
    bool reserve(double tokens, std::vector<bench_event> &out);
    void storePrefix(const bench_job &job, std::vector<bench_event> &out);
    void finishPrefill(std::vector<bench_event> &out);
    void admitImports();

    endpoint_role m_role;
    std::deque<bench_job> m_queue;
    std::deque<bench_job> m_imports;
    std::vector<bench_job> m_streams;
    std::deque<cached_prefix> m_cache; ///< Least recently used first.
    double m_streamTokens = 0;
    double m_cacheTokens = 0;
    double m_chunk = 0;
    std::size_t m_stepStreams = 0;
    std::vector<bench_event> m_pending;
};

}
