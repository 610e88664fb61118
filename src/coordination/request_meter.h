#pragma once

#include "coordination/serving_context.h"
#include "coordination/session_runner.h"

#include <optional>

namespace lacewinglock
{

/// Measures one request as its caller sees it: first token, token gaps, whole time, refusals. Counts the request as in flight while it
/// exists.
class request_meter
{
public:
    explicit request_meter(const serving_context &context);
    ~request_meter();
    request_meter(const request_meter &) = delete;
    request_meter &operator=(const request_meter &) = delete;

    /// Takes each output of the request's session.
    void note(const session_runner::output &output);

private:
    void noteToken();
    void noteEnd();

    const serving_context &m_context;
    instant m_startedAt;
    std::optional<instant> m_lastTokenAt;
};

/// Counts a refusal, also of a request that never got a session.
void countRefusal(const serving_context &context, run_state state);

}
