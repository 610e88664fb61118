#include "coordination/request_meter.h"

namespace lacewinglock
{

namespace
{

metric_counter counterOf(run_state state)
{
    switch (state) {
    case run_state::NotRun:
        return metric_counter::RefusalsNotRun;
    case run_state::Partial:
        return metric_counter::RefusalsPartial;
    case run_state::Unknown:
        break;
    }
    return metric_counter::RefusalsUnknown;
}

}

request_meter::request_meter(const serving_context &context)
    : m_context(context)
    , m_startedAt(context.now())
{
    ++*m_context.callerRequests;
    if (m_context.measured != nullptr) {
        m_context.measured->count(metric_counter::Requests);
        m_context.measured->change(metric_gauge::RequestsInFlight, 1);
    }
}

request_meter::~request_meter()
{
    if (m_context.measured != nullptr) {
        m_context.measured->change(metric_gauge::RequestsInFlight, -1);
    }
    --*m_context.callerRequests;
}

void request_meter::note(const session_runner::output &output)
{
    if (m_context.measured == nullptr) {
        return;
    }
    if (std::holds_alternative<deliver_token_effect>(output)) {
        noteToken();
    } else if (const auto *refused = std::get_if<refuse_effect>(&output)) {
        countRefusal(m_context, refused->state);
        noteEnd();
    } else if (!std::holds_alternative<abandon_effect>(output)) {
        noteEnd();
    }
}

void request_meter::noteToken()
{
    const instant now = m_context.now();
    if (m_lastTokenAt) {
        m_context.measured->observe(metric_histogram::TokenGapMs, toMs(now - *m_lastTokenAt));
    } else {
        m_context.measured->observe(metric_histogram::FirstTokenMs, toMs(now - m_startedAt));
    }
    m_lastTokenAt = now;
}

void request_meter::noteEnd()
{
    m_context.measured->observe(metric_histogram::RequestMs, toMs(m_context.now() - m_startedAt));
}

void countRefusal(const serving_context &context, run_state state)
{
    if (context.measured != nullptr) {
        context.measured->count(counterOf(state));
    }
}

}
