#include "coordination/session_runner.h"

#include "protocol/decision_codec.h"
#include "protocol/tunables.h"

#include <glog/logging.h>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr auto waitStep = std::chrono::milliseconds(20); // Bounds how late a caller's leaving is noticed.
constexpr auto tickInterval = std::chrono::milliseconds(100);

// A resumed stream goes before new work, since its caller is already waiting between two tokens.
constexpr int resumedPriority = 1;

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
    , m_lastTick(context.now())
{
    push(start_event{});
}

// A session that is left early goes on without its caller until delivered tokens are billed and claims are settled.
// Cancelling is repeated, because it has no effect on an attempt that is still connecting.
session_runner::~session_runner()
{
    if (!m_session.finished()) {
        m_goneReported = true;
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
    if (m_admitted) {
        m_gate.leave(*m_admitted, m_request.session.group);
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
    output first = std::move(m_outputs.front());
    m_outputs.pop_front();
    return first;
}

// Handles one event, or the lack of one, and looks at the caller and the clock.
void session_runner::advance()
{
    if (auto event = waitForEvent()) {
        step(*event);
    }
    if (!m_goneReported && m_callerGone()) {
        m_goneReported = true;
        step(caller_gone_event{});
    }
    if (const instant now = m_context.now(); now - m_lastTick >= tickInterval) {
        m_lastTick = now;
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
    m_arrived.wait_for(lock, waitStep, [&] {
        return !m_events.empty();
    });
    if (m_events.empty()) {
        return std::nullopt;
    }
    session_event event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void session_runner::push(session_event event)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
    }
    m_arrived.notify_one();
}

void session_runner::perform(const view_endpoints_effect &effect)
{
    const instant now = m_context.now();
    push(endpoints_viewed_event{
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
        m_admitted = effect.input;
    }
    push(admission_event{.op = effect.op, .result = result});
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
    push(row_read_event{.op = effect.op, .result = m_context.store.read(effect.key)});
}

void session_runner::perform(const commit_effect &effect)
{
    push(commit_event{.op = effect.op, .outcome = m_commits.commit(effect.change)});
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
        .freshConnection = !m_request.session.repeatable,
        .timeLeft = effect.deadline - m_context.now(),
    };
    if (const auto settings = m_context.endpoints.find(effect.endpoint)) {
        call.address = settings->address;
    }
    if (m_request.session.kind == route_kind::Model) {
        nlohmann::json fields = m_request.fields;
        fields["stream"] = true;
        fields["resume_from"] = effect.resumeFrom;
        fields["priority"] = effect.resumeFrom > 0 ? resumedPriority : 0;
        call.body = fields.dump();
    }
    return call;
}

void session_runner::perform(const start_attempt_effect &effect)
{
    const endpoint_call call = makeCall(effect);
    if (!m_context.endpoints.noteSent(effect.endpoint,
                                      {.attemptId = effect.attemptId, .promptTokens = m_request.session.promptTokens, .alone = effect.alone},
                                      m_promptBlocks,
                                      m_context.now())) {
        push(attempt_not_started_event{.attemptId = effect.attemptId});
        return;
    }
    auto &started = m_attempts.emplace_back();
    started.id = effect.attemptId;
    started.thread = std::thread([this, &started, call, endpointId = effect.endpoint] {
        runAttempt(started, call, endpointId);
    });
}

// Runs on the attempt's thread. The endpoint table learns of the end of the attempt before the session does.
void session_runner::runAttempt(attempt &running, const endpoint_call &call, const std::string &endpointId)
{
    std::optional<session_event> last;
    bool started = false;
    const auto emit = [&](session_event event) {
        if (std::holds_alternative<token_event>(event)) {
            if (!std::exchange(started, true)) {
                m_context.endpoints.noteFirstToken(endpointId, call.attemptId, m_context.now());
            }
            push(std::move(event));
        } else {
            last = std::move(event);
        }
    };
    if (m_request.session.kind == route_kind::Model) {
        m_client.streamCompletion(call, running.control, emit);
    } else {
        m_client.callService(call, running.control, emit);
    }
    const instant now = m_context.now();
    const auto *finished = std::get_if<stream_finished_event>(&*last);
    const double cached = finished != nullptr ? static_cast<double>(finished->cachedTokens) : -1;
    m_context.endpoints.noteFinished(endpointId, call.attemptId, m_promptBlocks, finished != nullptr ? m_request.session.promptTokens : 0, cached, now);
    if (const auto *failed = std::get_if<attempt_failed_event>(&*last); failed != nullptr && !running.control.cancelled()) {
        LOG(WARNING) << "attempt " << call.attemptId << " at endpoint " << endpointId << " failed: " << failed->detail;
        if (failed->failure == attempt_failure::NotSent) {
            m_context.endpoints.markUnreachable(endpointId, now);
        }
    }
    push(std::move(*last));
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

void session_runner::perform(const keep_usage_effect &effect)
{
    m_context.usage.add(effect.record);
    const auto &figures = effect.record.figures;
    m_context.demand->add(m_request.session.group,
                          {static_cast<double>(figures.promptTokens) - static_cast<double>(figures.cachedTokens), static_cast<double>(figures.outputTokens)},
                          m_context.now());
    push(usage_kept_event{.op = effect.op});
}

void session_runner::perform(const note_crash_effect &effect)
{
    const instant now = m_context.now();
    m_context.endpoints.markUnreachable(effect.endpoint, now);
    if (effect.suspect) {
        m_context.suspects.noteCrash(m_request.session.fingerprint, now);
    }
}

void session_runner::perform(const clear_suspect_effect &)
{
    m_context.suspects.clear(m_request.session.fingerprint);
}

void session_runner::perform(const claim_ended_effect &effect)
{
    if (m_context.claims != nullptr) {
        m_context.claims->noteEnded(effect.key, effect.nonce, m_context.now());
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
