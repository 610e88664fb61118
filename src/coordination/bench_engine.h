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
    double promptTokens = 0; ///< Includes the tokens delivered before a resume.
    double prefixTokens = 0; ///< Length of the shared prefix of the prompt.
    int prefix = -1; ///< Identifier of the shared prefix; negative when there is none.
    int outputTokens = 0; ///< Tokens still to deliver.
    int decodeEngine = -1; ///< Engine that decodes after a disaggregated prefill; negative when one engine does both.
    bool poison = false; ///< Crashes the engine when its prefill ends.
    double uncachedTokens = -1; ///< Prompt tokens to compute; negative before the prefill starts.
};

enum class bench_event_kind {
    Token,
    Done,
    PrefillDone, ///< Another engine decodes.
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

/// Model of an engine with continuous batching in steps, chunked prefill, and KV memory that streams and cached prefixes share.
class bench_engine
{
public:
    explicit bench_engine(endpoint_role role)
        : m_role(role)
    {
    }

    void enqueue(const bench_job &job);
    /// Queues a stream for decoding whose prefill ran on another engine.
    void importStream(const bench_job &job);
    /// Starts a step. Returns its length in milliseconds, or 0 when there is nothing to do.
    double beginStep();
    void finishStep(std::vector<bench_event> &out);
    /// Removes and returns all jobs and clears the cache, as a crash or a reclaim does.
    std::vector<bench_job> removeAllJobs();
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
    bool reserveKv(double tokens, std::vector<bench_event> &out);
    void cachePrefix(const bench_job &job, std::vector<bench_event> &out);
    void finishPrefill(std::vector<bench_event> &out);
    void admitImports();

    endpoint_role m_role;
    std::deque<bench_job> m_queue;
    std::deque<bench_job> m_importQueue;
    std::vector<bench_job> m_streams;
    std::deque<cached_prefix> m_cache; ///< In order of use, least recent first.
    double m_streamTokens = 0;
    double m_cacheTokens = 0;
    double m_chunk = 0;
    std::size_t m_stepStreams = 0;
    std::vector<bench_event> m_pending;
};

}
