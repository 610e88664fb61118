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
constexpr auto callerHop = 3ms;
constexpr auto endpointHop = 2ms; // Constant, so that the tokens of one connection stay in order.

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

const std::string *attemptOf(const session_event &event)
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
    m_world.clock.after(callerHop, call->id + " " + outcome + " " + code, [call] {
        call->ended();
    });
}

void virtual_daemon::takeCall(const std::shared_ptr<virtual_call> &call)
{
    m_world.clock.after(callerHop, call->id + " reaches " + m_id, [this, call, owner = std::weak_ptr(m_life)] {
        if (!m_life || owner.lock() != m_life) {
            endCall(call, "lost", "connection refused");
            return;
        }
        run(owner, [this, call](daemon_life &life) {
            call->requestId = call->number + "." + std::to_string(++call->arrivals);
            call->delivered = 0;
            if (const auto refused = openRequest(life, call)) {
                m_world.observer.noteRefusal(call->requestId, refused->state);
                endCall(call, stateName(refused->state), refused->code);
            }
        });
    });
}

// Authenticates and routes like the front of the daemon.
std::optional<refuse_effect> virtual_daemon::openRequest(daemon_life &life, const std::shared_ptr<virtual_call> &call)
{
    if (life.refusing) {
        return refusal("draining");
    }
    const bool informed = now() >= life.startedAt + tunables::drainMarkTime && life.endpoints.drainNotice().epoch > 0;
    const bool settled = informed && life.roster.roster().contains(m_id);
    const bool fresh = settled && life.follower.fresh(now());
    if (!fresh && m_world.broken != broken_mechanism::FreshnessGate) {
        return refusal("not_fresh");
    }
    const auto config = life.config.current();
    const auto match = findKey(config->parsed, call->key);
    if (!match) {
        return refusal("wrong_key");
    }
    m_world.observer.noteAdmission(m_id, match->keyId, config->parsed.version);
    checkInvariant(match->organisation == call->organisation, invariant::KeyDecidesOrganisation, call->requestId);
    const auto open = std::make_shared<daemon_life::open_request>(daemon_life::open_request{
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
            .incarnation = life.incarnation,
        }),
        .call = call,
    });
    life.requests[call->requestId] = open;
    push(0ms, call->requestId, start_event{});
    return std::nullopt;
}

void virtual_daemon::push(duration delay, const std::string &requestId, session_event event)
{
    post(delay, requestId, [this, requestId, event = std::move(event)](daemon_life &life) {
        step(life, requestId, event);
    });
}

void virtual_daemon::step(daemon_life &life, const std::string &requestId, const session_event &event)
{
    const auto found = life.requests.find(requestId);
    if (found == life.requests.end()) {
        return;
    }
    const auto open = found->second;
    open->lastEvent = std::holds_alternative<tick_event>(event) ? open->lastEvent : now();
    std::vector<session_effect> effects;
    open->session.handle(event, now(), effects);
    for (const auto &effect : effects) {
        std::visit(
            [&](const auto &typed) {
                performRequest(life, *open, typed);
            },
            effect);
    }
    if (open->session.finished()) {
        life.requests.erase(requestId);
    }
}

// Ticks the sessions and ends attempts of which nothing is heard.
void virtual_daemon::tickRequests(daemon_life &life)
{
    const auto requests = life.requests;
    for (const auto &[id, open] : requests) {
        if (!open->attemptId.empty() && now() - open->lastEvent > tunables::attemptIdleTimeout) {
            step(life, id, attempt_failed_event{.attemptId = open->attemptId, .failure = attempt_failure::TimedOut, .detail = "silent"});
        }
        step(life, id, tick_event{});
    }
}

std::vector<endpoint_view> virtual_daemon::viewEndpoints(daemon_life &life, const std::string &group) const
{
    auto views = life.endpoints.viewGroup(group, {}, now());
    std::ranges::sort(views, {}, &endpoint_view::id);
    for (auto &view : views) {
        // All engines of the cell serve whole requests, whatever their role.
        view.role = endpoint_role::Mixed;
    }
    return views;
}

template <typename Effect>
void virtual_daemon::performRequest(daemon_life &life, daemon_life::open_request &open, const Effect &effect)
{
    const auto &call = open.call;
    const std::string &id = call->requestId;
    if constexpr (std::is_same_v<Effect, view_endpoints_effect>) {
        push(0ms,
             id,
             endpoints_viewed_event{
                 .op = effect.op, .endpoints = viewEndpoints(life, call->booking ? "desk" : "reader"), .crashes = life.suspects.crashes(call->prompt, now())});
    } else if constexpr (std::is_same_v<Effect, admit_effect>) {
        push(0ms, id, admission_event{.op = effect.op, .result = decideAdmission(effect.input)});
    } else if constexpr (std::is_same_v<Effect, read_row_effect>) {
        m_around.platform.read(m_id, effect.key, [this, id, op = effect.op, owner = std::weak_ptr(m_life)](const auto &result) {
            run(owner, [this, id, op, result](daemon_life &same) {
                step(same, id, row_read_event{.op = op, .result = result});
            });
        });
    } else if constexpr (std::is_same_v<Effect, commit_effect>) {
        m_around.platform.commit(m_id, effect.change, [this, id, op = effect.op, owner = std::weak_ptr(m_life)](commit_outcome outcome) {
            run(owner, [this, id, op, outcome](daemon_life &same) {
                step(same, id, commit_event{.op = op, .outcome = outcome});
            });
        });
    } else if constexpr (std::is_same_v<Effect, start_attempt_effect>) {
        startAttempt(life, open, effect);
    } else if constexpr (std::is_same_v<Effect, cancel_attempt_effect>) {
        m_around.endpoints.at(open.endpoint)->cancel(effect.attemptId);
        open.attemptId.clear();
    } else if constexpr (std::is_same_v<Effect, deliver_token_effect>) {
        m_world.observer.noteToken(id, call->delivered, effect.text, engineToken(call->prompt, call->delivered));
        ++call->delivered;
    } else if constexpr (std::is_same_v<Effect, finish_effect>) {
        m_world.observer.noteFinish(id, call->delivered, call->tokens);
        endCall(call, "finished", "");
    } else if constexpr (std::is_same_v<Effect, deliver_answer_effect>) {
        m_world.observer.noteToken(id, 0, effect.answer.body, "booked");
        endCall(call, "finished", "");
    } else if constexpr (std::is_same_v<Effect, refuse_effect>) {
        m_world.observer.noteRefusal(id, effect.state);
        endCall(call, stateName(effect.state), effect.code);
    } else if constexpr (std::is_same_v<Effect, abandon_effect>) {
        endCall(call, "lost", "");
    } else if constexpr (std::is_same_v<Effect, keep_usage_effect>) {
        life.usage.add(effect.record);
        push(1ms, id, usage_kept_event{.op = effect.op});
    } else if constexpr (std::is_same_v<Effect, note_crash_effect>) {
        life.endpoints.markUnreachable(effect.endpoint, now());
        if (effect.suspect) {
            life.suspects.noteCrash(call->prompt, now());
        }
    } else if constexpr (std::is_same_v<Effect, clear_suspect_effect>) {
        life.suspects.clear(call->prompt);
    }
}

void virtual_daemon::startAttempt(daemon_life &life, daemon_life::open_request &open, const start_attempt_effect &effect)
{
    const auto &call = open.call;
    open.attemptId = effect.attemptId;
    open.endpoint = effect.endpoint;
    if (!life.endpoints.noteSent(effect.endpoint, {.attemptId = effect.attemptId, .promptTokens = 10, .alone = effect.alone}, {}, now())) {
        m_world.clock.after(
            duration(1), effect.attemptId + " not started", [this, id = call->requestId, attemptId = effect.attemptId, owner = std::weak_ptr(m_life)] {
                run(owner, [this, id, attemptId](daemon_life &same) {
                    step(same, id, attempt_not_started_event{.attemptId = attemptId});
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
    attempt.answer
        = [this, id = call->requestId, attemptId = effect.attemptId, endpointId = effect.endpoint, owner = std::weak_ptr(m_life)](const session_event &event) {
              m_world.clock.after(endpointHop, "answer to " + attemptId, [this, id, attemptId, endpointId, owner, event = received(attemptId, event)] {
                  run(owner, [this, id, endpointId, event](daemon_life &same) {
                      attemptEnded(same, endpointId, event);
                      step(same, id, event);
                  });
              });
          };
    m_world.clock.after(endpointHop, effect.attemptId + " reaches " + effect.endpoint, [this, endpointId = effect.endpoint, attempt] {
        m_around.endpoints.at(endpointId)->start(attempt);
    });
}

void virtual_daemon::attemptEnded(daemon_life &life, const std::string &endpointId, const session_event &event)
{
    if (std::holds_alternative<token_event>(event)) {
        return;
    }
    life.endpoints.noteFinished(endpointId, *attemptOf(event), {}, 0, -1, now());
    const auto *failed = std::get_if<attempt_failed_event>(&event);
    if (failed != nullptr && failed->failure == attempt_failure::NotSent) {
        life.endpoints.markUnreachable(endpointId, now());
    }
    if (const auto found = life.requests.find(attemptOf(event)->substr(0, attemptOf(event)->rfind('-'))); found != life.requests.end()) {
        found->second->attemptId = found->second->attemptId == *attemptOf(event) ? "" : found->second->attemptId;
    }
}

// What the endpoint client makes of an answer; test runs break it here.
session_event virtual_daemon::received(const std::string &attemptId, session_event event) const
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
