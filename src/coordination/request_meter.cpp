#include "coordination/request_meter.h"

namespace lacewinglock
{

namespace
{

metric_counter refusalCounter(run_state state)
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
    if (m_context.metricsRegistry != nullptr) {
        m_context.metricsRegistry->count(metric_counter::Requests);
        m_context.metricsRegistry->change(metric_gauge::RequestsInFlight, 1);
    }
}

request_meter::~request_meter()
{
    if (m_context.metricsRegistry != nullptr) {
        m_context.metricsRegistry->change(metric_gauge::RequestsInFlight, -1);
    }
    --*m_context.callerRequests;
}

void request_meter::record(const session_runner::output &output)
{
    if (m_context.metricsRegistry == nullptr) {
        return;
    }
    if (std::holds_alternative<deliver_token_effect>(output)) {
        recordToken();
    } else if (const auto *refusal = std::get_if<refuse_effect>(&output)) {
        countRefusal(m_context, refusal->state);
        recordEnd();
    } else if (!std::holds_alternative<abandon_effect>(output)) {
        recordEnd();
    }
}

void request_meter::recordToken()
{
    const instant now = m_context.now();
    if (m_lastTokenAt) {
        m_context.metricsRegistry->observe(metric_histogram::TokenGapMs, toMs(now - *m_lastTokenAt));
    } else {
        m_context.metricsRegistry->observe(metric_histogram::FirstTokenMs, toMs(now - m_startedAt));
    }
    m_lastTokenAt = now;
}

void request_meter::recordEnd()
{
    m_context.metricsRegistry->observe(metric_histogram::RequestMs, toMs(m_context.now() - m_startedAt));
}

void countRefusal(const serving_context &context, run_state state)
{
    if (context.metricsRegistry != nullptr) {
        context.metricsRegistry->count(refusalCounter(state));
    }
}

}
