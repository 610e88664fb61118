#pragma once

#include "coordination/serving_context.h"
#include "coordination/session_runner.h"

#include <optional>

namespace lacewinglock
{

/// Records metrics of one request from its caller's perspective: time to first token, gaps between tokens, total time and refusals. Counts
/// the request as in flight during its lifetime.
class request_meter
{
public:
    explicit request_meter(const serving_context &context);
    ~request_meter();
    request_meter(const request_meter &) = delete;
    request_meter &operator=(const request_meter &) = delete;

    /// Records one output of the request's session. Must be called for each output, in order.
    void record(const session_runner::output &output);

private:
    void recordToken();
    void recordEnd();

    const serving_context &m_context;
    instant m_startedAt;
    std::optional<instant> m_lastTokenAt;
};

/// Counts a refusal. Also used for requests that are refused before a session exists.
void countRefusal(const serving_context &context, run_state state);

}
