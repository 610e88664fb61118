#include "coordination/admission.h"
#include "protocol/engine_text.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"
#include "standin/virtual_daemon.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto callDeadline = 20s;
constexpr auto callerLatency = 3ms;
constexpr auto endpointLatency = 2ms; // Constant, so that tokens of one connection stay in order.

refuse_effect refusal(const std::string &code)
{
    return {.status = 503, .code = code, .message = code, .state = run_state::NotRun};
}

std::string stateName(run_state state)
{
    switch (state) {
    case run_state::NotRun:
        return "not_run";
    case run_state::Partial:
        return "partial";
    case run_state::Unknown:
        break;
    }
    return "unknown";
}

const std::string *attemptIdOf(const session_event &event)
{
    return std::visit(
        [](const auto &typed) -> const std::string * {
            if constexpr (requires { typed.attemptId; }) {
                return &typed.attemptId;
            } else {
                return nullptr;
            }
        },
        event);
}

}

void virtual_daemon::endCall(const std::shared_ptr<virtual_call> &call, const std::string &outcome, const std::string &code)
{
    call->outcome = outcome;
    call->code = code;
    m_world.clock.after(callerLatency, call->id + " " + outcome + " " + code, [call] {
        call->onEnd();
    });
}

void virtual_daemon::acceptCall(const std::shared_ptr<virtual_call> &call)
{
    m_world.clock.after(callerLatency, call->id + " reaches " + m_id, [this, call, owner = std::weak_ptr(m_incarnation)] {
        if (!m_incarnation || owner.lock() != m_incarnation) {
            endCall(call, "lost", "connection refused");
            return;
        }
        run(owner, [this, call](daemon_incarnation &incarnation) {
            call->requestId = call->number + "." + std::to_string(++call->dispatches);
            call->delivered = 0;
            if (const auto refused = openRequest(incarnation, call)) {
                m_world.observer.recordRefusal(call->requestId, refused->state);
                endCall(call, stateName(refused->state), refused->code);
            }
        });
    });
}

// Authenticates and routes a request as the production caller routes do.
std::optional<refuse_effect> virtual_daemon::openRequest(daemon_incarnation &incarnation, const std::shared_ptr<virtual_call> &call)
{
    if (incarnation.refusing) {
        return refusal("draining");
    }
    const bool drainNoticeCurrent = now() >= incarnation.startedAt + tunables::drainMarkLifetime && incarnation.endpoints.drainNotice().epoch > 0;
    const bool rosterMember = drainNoticeCurrent && incarnation.roster.roster().contains(m_id);
    const bool fresh = rosterMember && incarnation.follower.fresh(now());
    if (!fresh && m_world.broken != broken_mechanism::FreshnessGate) {
        return refusal("not_fresh");
    }
    const auto config = incarnation.config.current();
    const auto match = findKey(config->parsed, call->key);
    if (!match) {
        return refusal("wrong_key");
    }
    m_world.observer.checkAdmission(m_id, match->keyId, config->parsed.version);
    checkInvariant(match->organisation == call->organisation, invariant::KeyDecidesOrganisation, call->requestId);
    const auto open = std::make_shared<daemon_incarnation::open_request>(daemon_incarnation::open_request{
        .session = request_session({
            .requestId = call->requestId,
            .organisation = match->organisation,
            .keyId = match->keyId,
            .group = call->booking ? "desk" : "reader",
            .kind = call->booking ? route_kind::Service : route_kind::Model,
            .repeatable = !call->booking,
            .idempotencyKeyHash = call->booking ? call->id : "",
            .fingerprint = call->prompt,
            .promptTokens = 10,
            .maxOutputTokens = static_cast<double>(call->tokens),
            .deadline = now() + callDeadline,
            .configVersion = config->parsed.version,
            .daemon = m_id,
            .incarnation = incarnation.incarnationId,
        }),
        .call = call,
    });
    incarnation.requests[call->requestId] = open;
    postEvent(0ms, call->requestId, start_event{});
    return std::nullopt;
}

void virtual_daemon::postEvent(duration delay, const std::string &requestId, session_event event)
{
    post(delay, requestId, [this, requestId, event = std::move(event)](daemon_incarnation &incarnation) {
        handleSessionEvent(incarnation, requestId, event);
    });
}

void virtual_daemon::handleSessionEvent(daemon_incarnation &incarnation, const std::string &requestId, const session_event &event)
{
    const auto found = incarnation.requests.find(requestId);
    if (found == incarnation.requests.end()) {
        return;
    }
    const auto open = found->second;
    open->lastEvent = std::holds_alternative<tick_event>(event) ? open->lastEvent : now();
    std::vector<session_effect> effects;
    open->session.handle(event, now(), effects);
    for (const auto &effect : effects) {
        std::visit(
            [&](const auto &typed) {
                performSessionEffect(incarnation, *open, typed);
            },
            effect);
    }
    if (open->session.finished()) {
        incarnation.requests.erase(requestId);
    }
}

// Ticks all sessions and fails attempts without an event for longer than the idle timeout.
void virtual_daemon::tickRequests(daemon_incarnation &incarnation)
{
    const auto requests = incarnation.requests;
    for (const auto &[id, open] : requests) {
        if (!open->attemptId.empty() && now() - open->lastEvent > tunables::attemptIdleTimeout) {
            handleSessionEvent(incarnation, id, attempt_failed_event{.attemptId = open->attemptId, .failure = attempt_failure::TimedOut, .detail = "silent"});
        }
        handleSessionEvent(incarnation, id, tick_event{});
    }
}

std::vector<endpoint_view> virtual_daemon::viewEndpoints(daemon_incarnation &incarnation, const std::string &group) const
{
    auto views = incarnation.endpoints.viewGroup(group, {}, now());
    std::ranges::sort(views, {}, &endpoint_view::id);
    for (auto &view : views) {
        // Engines in the virtual cell serve whole requests regardless of their role.
        view.role = endpoint_role::Mixed;
    }
    return views;
}

template <typename Effect>
void virtual_daemon::performSessionEffect(daemon_incarnation &incarnation, daemon_incarnation::open_request &open, const Effect &effect)
{
    const auto &call = open.call;
    const std::string &id = call->requestId;
    if constexpr (std::is_same_v<Effect, view_endpoints_effect>) {
        postEvent(0ms,
                  id,
                  endpoints_viewed_event{.op = effect.op,
                                         .endpoints = viewEndpoints(incarnation, call->booking ? "desk" : "reader"),
                                         .crashes = incarnation.suspects.crashes(call->prompt, now())});
    } else if constexpr (std::is_same_v<Effect, admit_effect>) {
        postEvent(0ms, id, admission_event{.op = effect.op, .result = decideAdmission(effect.input)});
    } else if constexpr (std::is_same_v<Effect, read_row_effect>) {
        m_environment.platform.read(m_id, effect.key, [this, id, op = effect.op, owner = std::weak_ptr(m_incarnation)](const auto &result) {
            run(owner, [this, id, op, result](daemon_incarnation &current) {
                handleSessionEvent(current, id, row_read_event{.op = op, .result = result});
            });
        });
    } else if constexpr (std::is_same_v<Effect, commit_effect>) {
        m_environment.platform.commit(m_id, effect.change, [this, id, op = effect.op, owner = std::weak_ptr(m_incarnation)](commit_outcome outcome) {
            run(owner, [this, id, op, outcome](daemon_incarnation &current) {
                handleSessionEvent(current, id, commit_event{.op = op, .outcome = outcome});
            });
        });
    } else if constexpr (std::is_same_v<Effect, start_attempt_effect>) {
        startAttempt(incarnation, open, effect);
    } else if constexpr (std::is_same_v<Effect, cancel_attempt_effect>) {
        m_environment.endpoints.at(open.endpoint)->cancel(effect.attemptId);
        open.attemptId.clear();
    } else if constexpr (std::is_same_v<Effect, deliver_token_effect>) {
        m_world.observer.checkToken(id, call->delivered, effect.text, engineToken(call->prompt, call->delivered));
        ++call->delivered;
    } else if constexpr (std::is_same_v<Effect, finish_effect>) {
        m_world.observer.checkCompletion(id, call->delivered, call->tokens);
        endCall(call, "finished", "");
    } else if constexpr (std::is_same_v<Effect, deliver_answer_effect>) {
        m_world.observer.checkToken(id, 0, effect.answer.body, "booked");
        endCall(call, "finished", "");
    } else if constexpr (std::is_same_v<Effect, refuse_effect>) {
        m_world.observer.recordRefusal(id, effect.state);
        endCall(call, stateName(effect.state), effect.code);
    } else if constexpr (std::is_same_v<Effect, abandon_effect>) {
        endCall(call, "lost", "");
    } else if constexpr (std::is_same_v<Effect, record_usage_effect>) {
        incarnation.usage.add(effect.record);
        postEvent(1ms, id, usage_recorded_event{.op = effect.op});
    } else if constexpr (std::is_same_v<Effect, record_crash_effect>) {
        incarnation.endpoints.markUnreachable(effect.endpoint, now());
        if (effect.suspect) {
            incarnation.suspects.recordCrash(call->prompt, now());
        }
    } else if constexpr (std::is_same_v<Effect, clear_suspect_effect>) {
        incarnation.suspects.clear(call->prompt);
    }
}

void virtual_daemon::startAttempt(daemon_incarnation &incarnation, daemon_incarnation::open_request &open, const start_attempt_effect &effect)
{
    const auto &call = open.call;
    open.attemptId = effect.attemptId;
    open.endpoint = effect.endpoint;
    if (!incarnation.endpoints.beginAttempt(effect.endpoint, {.attemptId = effect.attemptId, .promptTokens = 10, .exclusive = effect.exclusive}, {}, now())) {
        m_world.clock.after(
            duration(1), effect.attemptId + " not started", [this, id = call->requestId, attemptId = effect.attemptId, owner = std::weak_ptr(m_incarnation)] {
                run(owner, [this, id, attemptId](daemon_incarnation &current) {
                    handleSessionEvent(current, id, attempt_not_started_event{.attemptId = attemptId});
                });
            });
        return;
    }
    virtual_attempt attempt{
        .attemptId = effect.attemptId,
        .requestId = call->requestId,
        .daemon = m_id,
        .prompt = call->prompt,
        .resumeFrom = effect.resumeFrom,
        .tokens = call->tokens,
        .poison = call->poison,
        .idempotencyKey = call->booking ? call->id : "",
    };
    attempt.answer = [this, id = call->requestId, attemptId = effect.attemptId, endpointId = effect.endpoint, owner = std::weak_ptr(m_incarnation)](
                         const session_event &event) {
        m_world.clock.after(
            endpointLatency, "answer to " + attemptId, [this, id, attemptId, endpointId, owner, event = applyBrokenMechanism(attemptId, event)] {
                run(owner, [this, id, endpointId, event](daemon_incarnation &current) {
                    handleAttemptEvent(current, endpointId, event);
                    handleSessionEvent(current, id, event);
                });
            });
    };
    m_world.clock.after(endpointLatency, effect.attemptId + " reaches " + effect.endpoint, [this, endpointId = effect.endpoint, attempt] {
        m_environment.endpoints.at(endpointId)->start(attempt);
    });
}

void virtual_daemon::handleAttemptEvent(daemon_incarnation &incarnation, const std::string &endpointId, const session_event &event)
{
    if (std::holds_alternative<token_event>(event)) {
        return;
    }
    incarnation.endpoints.endAttempt(endpointId, *attemptIdOf(event), {}, 0, -1, now());
    const auto *failed = std::get_if<attempt_failed_event>(&event);
    if (failed != nullptr && failed->failure == attempt_failure::NotSent) {
        incarnation.endpoints.markUnreachable(endpointId, now());
    }
    if (const auto found = incarnation.requests.find(attemptIdOf(event)->substr(0, attemptIdOf(event)->rfind('-'))); found != incarnation.requests.end()) {
        found->second->attemptId = found->second->attemptId == *attemptIdOf(event) ? "" : found->second->attemptId;
    }
}

// Models the endpoint client's handling of an answer, with the attempt id check or the failure outcome disabled in some test runs.
session_event virtual_daemon::applyBrokenMechanism(const std::string &attemptId, session_event event) const
{
    if (m_world.broken == broken_mechanism::AttemptIdCheck && std::holds_alternative<token_event>(event)) {
        std::get<token_event>(event).attemptId = attemptId;
    }
    if (m_world.broken == broken_mechanism::FailureOutcome && std::holds_alternative<attempt_failed_event>(event)) {
        auto &failed = std::get<attempt_failed_event>(event);
        failed.failure = failed.failure == attempt_failure::ConnectionLost ? attempt_failure::NotSent : failed.failure;
    }
    return event;
}

}
