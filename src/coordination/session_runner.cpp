#include "coordination/session_runner.h"

#include "protocol/decision_codec.h"
#include "protocol/tunables.h"

#include <glog/logging.h>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr auto eventWaitInterval = std::chrono::milliseconds(20); // Upper bound on the delay until a caller's disconnect is noticed.
constexpr auto tickInterval = std::chrono::milliseconds(100);

// A resumed stream has priority over new requests, because its caller is already waiting between two tokens.
constexpr int resumedStreamPriority = 1;

}

session_runner::session_runner(const serving_context &context,
                               admission_gate &gate,
                               endpoint_client &client,
                               commit_batcher &commits,
                               routed_request request,
                               std::function<bool()> callerGone)
    : m_context(context)
    , m_gate(gate)
    , m_client(client)
    , m_commits(commits)
    , m_request(std::move(request))
    , m_callerGone(std::move(callerGone))
    , m_promptBlocks(hashPromptBlocks(m_request.prompt))
    , m_session(m_request.session)
    , m_lastTickAt(context.now())
{
    pushEvent(start_event{});
}

// A session that is abandoned early continues without its caller until delivered tokens are billed and its claim is stored or withdrawn.
// Cancelling is repeated, because it has no effect on an attempt that is still connecting.
session_runner::~session_runner()
{
    if (!m_session.finished()) {
        m_callerGoneReported = true;
        step(caller_gone_event{});
        m_outputs.clear();
        while (!m_session.finished()) {
            advance();
            m_outputs.clear();
        }
    }
    for (auto &running : m_attempts) {
        while (!running.done) {
            running.control.cancel();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        running.thread.join();
    }
    if (m_admittedInput) {
        m_gate.leave(*m_admittedInput, m_request.session.group);
    }
}

session_runner::output session_runner::next()
{
    while (m_outputs.empty() && !m_session.finished()) {
        advance();
    }
    if (m_outputs.empty()) {
        return abandon_effect{};
    }
    output nextOutput = std::move(m_outputs.front());
    m_outputs.pop_front();
    return nextOutput;
}

// Waits for one event for a limited time, handles it, and checks for a disconnected caller and a due tick.
void session_runner::advance()
{
    if (auto event = waitForEvent()) {
        step(*event);
    }
    if (!m_callerGoneReported && m_callerGone()) {
        m_callerGoneReported = true;
        step(caller_gone_event{});
    }
    if (const instant now = m_context.now(); now - m_lastTickAt >= tickInterval) {
        m_lastTickAt = now;
        step(tick_event{});
    }
}

void session_runner::step(const session_event &event)
{
    std::vector<session_effect> effects;
    m_session.handle(event, m_context.now(), effects);
    for (const auto &effect : effects) {
        std::visit(
            [&](const auto &specific) {
                perform(specific);
            },
            effect);
    }
}

std::optional<session_event> session_runner::waitForEvent()
{
    std::unique_lock lock(m_mutex);
    m_eventAvailable.wait_for(lock, eventWaitInterval, [&] {
        return !m_events.empty();
    });
    if (m_events.empty()) {
        return std::nullopt;
    }
    session_event event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void session_runner::pushEvent(session_event event)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
    }
    m_eventAvailable.notify_one();
}

void session_runner::perform(const view_endpoints_effect &effect)
{
    const instant now = m_context.now();
    pushEvent(endpoints_viewed_event{
        .op = effect.op,
        .endpoints = m_context.endpoints.viewGroup(m_request.session.group, m_promptBlocks, now),
        .crashes = m_context.suspects.crashes(m_request.session.fingerprint, now),
        .demandShare = m_context.demandShare(m_request.session.group),
    });
}

void session_runner::perform(const admit_effect &effect)
{
    const admit_result result = m_gate.enter(effect.input,
                                             {
                                                 .group = m_request.session.group,
                                                 .freeGroupTokens =
                                                     [this] {
                                                         return freeGroupTokens();
                                                     },
                                                 .deadline = m_request.session.deadline,
                                                 .now = m_context.now,
                                                 .callerGone = m_callerGone,
                                                 .record =
                                                     [this](const admit_input &input, const admit_result &decided) {
                                                         recordAdmission(input, decided);
                                                     },
                                             });
    if (result.verdict == admit_verdict::Admit) {
        m_admittedInput = effect.input;
    }
    pushEvent(admission_event{.op = effect.op, .result = result});
}

double session_runner::freeGroupTokens() const
{
    const auto &group = m_request.session.group;
    double free = 0;
    for (const auto &view : m_context.endpoints.viewGroup(group, {}, m_context.now())) {
        free += view.reachable && !view.leaving ? view.freeKvTokens : 0;
    }
    return free * m_context.demandShare(group);
}

void session_runner::recordAdmission(const admit_input &input, const admit_result &result)
{
    m_context.decisions.write(recordAdmit(input.requestId + "/admit", input, result));
}

void session_runner::perform(const read_row_effect &effect)
{
    pushEvent(row_read_event{.op = effect.op, .result = m_context.store.read(effect.key)});
}

void session_runner::perform(const commit_effect &effect)
{
    pushEvent(commit_event{.op = effect.op, .outcome = m_commits.commit(effect.change)});
}

endpoint_call session_runner::makeCall(const start_attempt_effect &effect) const
{
    endpoint_call call{
        .attemptId = effect.attemptId,
        .method = m_request.method,
        .path = m_request.path,
        .headers = m_request.headers,
        .body = m_request.body,
        .chat = m_request.chat,
        .useNewConnection = !m_request.session.repeatable,
        .remainingTime = effect.deadline - m_context.now(),
    };
    if (const auto settings = m_context.endpoints.find(effect.endpoint)) {
        call.address = settings->address;
    }
    if (m_request.session.kind == route_kind::Model) {
        nlohmann::json fields = m_request.fields;
        fields["stream"] = true;
        fields["resume_from"] = effect.resumeFrom;
        fields["priority"] = effect.resumeFrom > 0 ? resumedStreamPriority : 0;
        call.body = fields.dump();
    }
    return call;
}

void session_runner::perform(const start_attempt_effect &effect)
{
    const endpoint_call call = makeCall(effect);
    if (!m_context.endpoints.beginAttempt(effect.endpoint,
                                          {.attemptId = effect.attemptId, .promptTokens = m_request.session.promptTokens, .exclusive = effect.exclusive},
                                          m_promptBlocks,
                                          m_context.now())) {
        pushEvent(attempt_not_started_event{.attemptId = effect.attemptId});
        return;
    }
    auto &started = m_attempts.emplace_back();
    started.id = effect.attemptId;
    started.thread = std::thread([this, &started, call, endpointId = effect.endpoint] {
        runAttempt(started, call, endpointId);
    });
}

// Runs on the attempt's thread. The endpoint table is updated before the session receives the final event, so that the session's next view
// includes the end of the attempt.
void session_runner::runAttempt(attempt &running, const endpoint_call &call, const std::string &endpointId)
{
    std::optional<session_event> finalEvent;
    bool started = false;
    const auto emit = [&](session_event event) {
        if (std::holds_alternative<token_event>(event)) {
            if (!std::exchange(started, true)) {
                m_context.endpoints.recordFirstToken(endpointId, call.attemptId, m_context.now());
            }
            pushEvent(std::move(event));
        } else {
            finalEvent = std::move(event);
        }
    };
    if (m_request.session.kind == route_kind::Model) {
        m_client.streamCompletion(call, running.control, emit);
    } else {
        m_client.callService(call, running.control, emit);
    }
    const instant now = m_context.now();
    const auto *finished = std::get_if<stream_finished_event>(&*finalEvent);
    const double cached = finished != nullptr ? static_cast<double>(finished->cachedTokens) : -1;
    m_context.endpoints.endAttempt(endpointId, call.attemptId, m_promptBlocks, finished != nullptr ? m_request.session.promptTokens : 0, cached, now);
    if (const auto *failed = std::get_if<attempt_failed_event>(&*finalEvent); failed != nullptr && !running.control.cancelled()) {
        LOG(WARNING) << "attempt " << call.attemptId << " at endpoint " << endpointId << " failed: " << failed->detail;
        if (failed->failure == attempt_failure::NotSent) {
            m_context.endpoints.markUnreachable(endpointId, now);
        }
    }
    pushEvent(std::move(*finalEvent));
    running.done = true;
}

void session_runner::perform(const cancel_attempt_effect &effect)
{
    for (auto &running : m_attempts) {
        if (running.id == effect.attemptId) {
            running.control.cancel();
        }
    }
}

void session_runner::perform(const record_usage_effect &effect)
{
    m_context.usage.add(effect.record);
    const auto &figures = effect.record.figures;
    m_context.demand->add(m_request.session.group,
                          {static_cast<double>(figures.promptTokens) - static_cast<double>(figures.cachedTokens), static_cast<double>(figures.outputTokens)},
                          m_context.now());
    pushEvent(usage_recorded_event{.op = effect.op});
}

void session_runner::perform(const record_crash_effect &effect)
{
    const instant now = m_context.now();
    m_context.endpoints.markUnreachable(effect.endpoint, now);
    if (effect.suspect) {
        m_context.suspects.recordCrash(m_request.session.fingerprint, now);
    }
}

void session_runner::perform(const clear_suspect_effect &)
{
    m_context.suspects.clear(m_request.session.fingerprint);
}

void session_runner::perform(const claim_ended_effect &effect)
{
    if (m_context.claimCleaner != nullptr) {
        m_context.claimCleaner->scheduleDelete(effect.key, effect.nonce, m_context.now());
    }
}

void session_runner::perform(const record_decision_effect &effect)
{
    m_context.decisions.write(effect.record);
}

template <typename Output>
void session_runner::perform(const Output &effect)
{
    m_outputs.emplace_back(effect);
}

}
