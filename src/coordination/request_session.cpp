#include "coordination/request_session.h"

#include "coordination/routing.h"
#include "protocol/decision_codec.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

// The second crash with the same request in flight makes a coincidence unlikely; design section 10 refuses from then on.
constexpr int crashesToRefuse = 2;
constexpr double retryAfterOpenClaimMs = 1000;
constexpr double retryAfterBusyMs = 500;

bool certainlyNotRun(attempt_failure failure)
{
    return failure == attempt_failure::NotSent || failure == attempt_failure::Refused;
}

// Rows written before headers were stored have none.
std::vector<std::pair<std::string, std::string>> storedHeaders(const nlohmann::json &content)
{
    std::vector<std::pair<std::string, std::string>> headers;
    for (const auto &item : content.value("headers", nlohmann::json::array())) {
        if (item.is_array() && item.size() == 2 && item[0].is_string() && item[1].is_string()) {
            headers.emplace_back(item[0].get<std::string>(), item[1].get<std::string>());
        }
    }
    return headers;
}

std::string_view stringField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? std::string_view(found->get_ref<const std::string &>()) : std::string_view();
}

}

request_session::request_session(session_request request)
    : m_request(std::move(request))
    , m_nonce(m_request.incarnation + "/" + m_request.requestId)
{
}

void request_session::handle(const session_event &event, instant now, std::vector<session_effect> &out)
{
    if (m_phase == phase::Done) {
        return; // Late answers of operations and attempts have no effect.
    }
    std::visit(
        [&](const auto &specific) {
            on(specific, now, out);
        },
        event);
}

bool request_session::finished() const
{
    return m_phase == phase::Done;
}

void request_session::on(const start_event &, instant, effects &out)
{
    if (m_phase == phase::New) {
        requestView(out);
    }
}

// Enforces the deadline and looks again for an endpoint. Once the outcome is known, storing it is not cut short.
void request_session::on(const tick_event &, instant now, effects &out)
{
    if (m_phase >= phase::ReadingOutcomeRow) {
        return;
    }
    if (now >= m_request.deadline) {
        cancelAttempt(cancel_reason::Deadline, out);
        refuse(504, "deadline_exceeded", "the deadline passed", out);
    } else if (m_phase == phase::WaitingForEndpoint) {
        requestView(out);
    }
}

void request_session::on(const endpoints_viewed_event &event, instant now, effects &out)
{
    if (m_phase == phase::Viewing && event.op == m_pendingOp) {
        route(event, now, out);
    }
}

void request_session::on(const admission_event &event, instant now, effects &out)
{
    if (m_phase != phase::Admitting || event.op != m_pendingOp) {
        return;
    }
    if (event.result.verdict != admit_verdict::Admit) {
        refuse(429, "not_admitted", event.result.reason, out, event.result.retryAfterMs);
        return;
    }
    m_admitted = true;
    proceed(now, out);
}

void request_session::on(const row_read_event &event, instant now, effects &out)
{
    if (event.op != m_pendingOp) {
        return;
    }
    if (m_phase == phase::ReadingOutcomeRow) {
        judgeOutcomeRow(event, out);
    } else if (m_phase == phase::ReadingClaim) {
        if (event.result.ok()) {
            judgeClaimRow(*event.result, now, out);
        } else if (++m_claimTries < tunables::maxClaimTries) {
            readClaim(out);
        } else {
            // True although the claim may have been written: this session ends here and never sends.
            refuse(503, "claim_unconfirmed", "the table service could not confirm the claim", out, retryAfterBusyMs);
        }
    }
}

void request_session::on(const commit_event &event, instant now, effects &out)
{
    if (event.op != m_pendingOp) {
        return;
    }
    if (m_phase == phase::StoringOutcome) {
        if (event.outcome == commit_outcome::Committed || ++m_outcomeTries >= tunables::maxClaimTries) {
            keepUsage(out);
        } else {
            readOutcomeRow(out);
        }
        return;
    }
    if (m_phase != phase::Claiming) {
        return;
    }
    switch (event.outcome) {
    case commit_outcome::Committed:
        m_claimHeld = true;
        proceed(now, out);
        break;
    case commit_outcome::Conflict:
    case commit_outcome::Unknown:
        readClaim(out);
        break;
    case commit_outcome::Unavailable:
        refuse(503, "claim_unavailable", "the table service did not take the claim", out, retryAfterBusyMs);
        break;
    }
}

// Passes a token on only when it is exactly the next one of the running attempt.
void request_session::on(const token_event &event, instant, effects &out)
{
    if (!isCurrent(event.attemptId)) {
        return;
    }
    if (event.index != m_delivered) {
        cancelAttempt(cancel_reason::BadAnswer, out);
        failAttempt(attempt_failure::BadAnswer, "token index " + std::to_string(event.index) + " instead of " + std::to_string(m_delivered), out);
        return;
    }
    checkInvariant(event.index == m_delivered && event.attemptId == m_attemptId, invariant::WholeOwnAnswer, m_request.requestId);
    ++m_delivered;
    if (m_claimHeld) {
        m_text += event.text;
    }
    out.emplace_back(deliver_token_effect{.text = event.text});
}

void request_session::on(const stream_finished_event &event, instant, effects &out)
{
    if (!isCurrent(event.attemptId)) {
        return;
    }
    // Engines may count a resumed output from its start or from the point of resumption.
    const std::uint64_t sinceResume = m_delivered - m_resumedAt;
    if (event.completionTokens != m_delivered && event.completionTokens != sinceResume) {
        failAttempt(attempt_failure::BadAnswer, "the endpoint counted " + std::to_string(event.completionTokens) + " tokens", out);
        return;
    }
    checkInvariant(m_attemptId == event.attemptId && m_delivered >= m_resumedAt, invariant::WholeOwnAnswer, m_request.requestId);
    m_figures = {.requests = 1, .promptTokens = event.promptTokens, .cachedTokens = event.cachedTokens, .outputTokens = m_delivered};
    complete(finish_effect{.finishReason = event.finishReason, .figures = m_figures}, {.status = 200, .contentType = "text/plain", .body = m_text}, out);
}

void request_session::on(const service_answer_event &event, instant, effects &out)
{
    if (!isCurrent(event.attemptId)) {
        return;
    }
    m_figures = {.requests = 1, .serviceCalls = 1};
    complete(deliver_answer_effect{.answer = event.answer}, event.answer, out);
}

void request_session::on(const attempt_failed_event &event, instant, effects &out)
{
    if (isCurrent(event.attemptId)) {
        failAttempt(event.failure, event.detail, out);
    }
}

// Chooses again. The endpoint is not excluded: the next view shows whether it is still taken.
void request_session::on(const attempt_not_started_event &event, instant, effects &out)
{
    if (isCurrent(event.attemptId)) {
        --m_started;
        m_attemptId.clear();
        requestView(out);
    }
}

// Cancels the work of a caller that has gone. A claimed request that is already running goes on, so that its outcome is stored and
// the caller's retry with the same key gets it.
void request_session::on(const caller_gone_event &, instant, effects &out)
{
    m_callerGone = true;
    if (m_phase >= phase::ReadingOutcomeRow || (m_claimHeld && !m_attemptId.empty())) {
        return;
    }
    cancelAttempt(cancel_reason::CallerGone, out);
    endWith(abandon_effect{}, out);
}

void request_session::on(const usage_kept_event &event, instant, effects &out)
{
    if (m_phase == phase::KeepingUsage && event.op == m_pendingOp) {
        releaseFinal(out);
    }
}

void request_session::requestView(effects &out)
{
    m_phase = phase::Viewing;
    out.emplace_back(view_endpoints_effect{.op = nextOp()});
}

route_input request_session::makeRouteInput(const endpoints_viewed_event &event, instant now)
{
    return {
        .requestId = m_request.requestId,
        .configVersion = m_request.configVersion,
        .group = m_request.group,
        .organisation = m_request.organisation,
        .promptHash = m_request.promptHash,
        .promptTokens = m_request.promptTokens + static_cast<double>(m_delivered),
        .maxOutputTokens = std::max(0.0, m_request.maxOutputTokens - static_cast<double>(m_delivered)),
        .remainingMs = toMs(m_request.deadline - now),
        .repeatable = m_request.repeatable,
        .suspect = m_suspect,
        .excluded = m_excluded,
        .seed = XXH3_64bits(m_request.requestId.data(), m_request.requestId.size()),
        .endpoints = event.endpoints,
        .demandShare = event.demandShare,
    };
}

// Chooses an endpoint and goes on to the next step: admission, claim or sending.
void request_session::route(const endpoints_viewed_event &event, instant now, effects &out)
{
    if (event.crashes >= crashesToRefuse) {
        refuse(503, "suspect_request", "endpoints crashed repeatedly while running this request", out, toMs(tunables::suspectRefusalTime));
        return;
    }
    m_suspect = m_suspect || event.crashes > 0;
    const route_input input = makeRouteInput(event, now);
    const route_result routed = decideRoute(input);
    out.emplace_back(record_decision_effect{.record = recordRoute(input.requestId + "/route/" + std::to_string(m_lastOp), input, routed)});
    if (routed.endpoint.empty()) {
        waitForEndpoint(routed, now, out);
        return;
    }
    const auto chosen = std::ranges::find(event.endpoints, routed.endpoint, &endpoint_view::id);
    checkInvariant(chosen != event.endpoints.end() && !chosen->leaving, invariant::NoWorkForLeaving, routed.endpoint);
    m_waitingSince.reset();
    m_endpoint = routed.endpoint;
    m_routedAt = now;
    if (m_admitted) {
        proceed(now, out);
    } else {
        admit(routed, now, out);
    }
}

// Waits for an endpoint. Endpoints that refused or failed earlier may be chosen again, since no other is left.
void request_session::waitForEndpoint(const route_result &routed, instant now, effects &out)
{
    if (!m_waitingSince) {
        m_waitingSince = now;
    }
    if (m_delivered == 0 && !m_suspect && now - *m_waitingSince >= tunables::noEndpointWait) {
        refuse(503, "no_endpoint", routed.reason, out, retryAfterBusyMs);
        return;
    }
    m_excluded.clear();
    m_phase = phase::WaitingForEndpoint;
}

void request_session::admit(const route_result &routed, instant now, effects &out)
{
    m_phase = phase::Admitting;
    out.emplace_back(admit_effect{
        .op = nextOp(),
        .input =
            {
                .requestId = m_request.requestId,
                .configVersion = m_request.configVersion,
                .organisation = m_request.organisation,
                .keyId = m_request.keyId,
                .weight = m_request.weight,
                .limits = m_request.limits,
                .promptTokens = m_request.promptTokens,
                .maxOutputTokens = m_request.maxOutputTokens,
                .keyLimit = m_request.keyLimit,
                .predictedFirstTokenMs = routed.predictedFirstTokenMs,
                .remainingMs = toMs(m_request.deadline - now),
            },
    });
}

// Takes the next step of an admitted request.
void request_session::proceed(instant now, effects &out)
{
    if (now >= m_request.deadline) {
        refuse(504, "deadline_exceeded", "the deadline passed", out);
    } else if (needsClaim() && !m_claimHeld) {
        sendClaim(out);
    } else if (now - m_routedAt > tunables::routeValidity) {
        requestView(out);
    } else {
        startAttempt(now, out);
    }
}

bool request_session::needsClaim() const
{
    return !m_request.repeatable && !m_request.idempotencyKeyHash.empty();
}

std::string request_session::claimKey() const
{
    const std::string owner = m_request.organisation.empty() ? "-" : m_request.organisation;
    return "claim/" + owner + "/" + m_request.idempotencyKeyHash;
}

std::string request_session::claimValue(std::string_view state) const
{
    nlohmann::json value = {
        {"nonce", m_nonce},
        {"daemon", m_request.daemon},
        {"incarnation", m_request.incarnation},
        {"fingerprint", m_request.fingerprint},
        {"state", state},
    };
    if (m_outcome) {
        value["status"] = m_outcome->status;
        value["content_type"] = m_outcome->contentType;
        value["body"] = m_outcome->body;
        value["headers"] = m_outcome->headers;
    }
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void request_session::sendClaim(effects &out)
{
    m_phase = phase::Claiming;
    out.emplace_back(commit_effect{
        .op = nextOp(),
        .change = {.conditions = {{.key = claimKey(), .version = m_claimVersion}}, .writes = {{.key = claimKey(), .value = claimValue("open")}}},
    });
}

void request_session::readClaim(effects &out)
{
    m_phase = phase::ReadingClaim;
    out.emplace_back(read_row_effect{.op = nextOp(), .key = claimKey()});
}

// Decides from the claim row whether this session holds the claim.
void request_session::judgeClaimRow(const std::optional<row> &found, instant now, effects &out)
{
    if (found) {
        const auto content = nlohmann::json::parse(found->value, nullptr, false);
        if (stringField(content, "nonce") == m_nonce) {
            m_claimHeld = true;
            proceed(now, out);
            return;
        }
        if (stringField(content, "state") != "withdrawn") {
            judgeForeignClaim(*found, out);
            return;
        }
    }
    // The row is free: it was withdrawn, or the commit in doubt has not taken effect.
    m_claimVersion = found ? found->version : 0;
    if (++m_claimTries >= tunables::maxClaimTries) {
        refuse(503, "claim_unconfirmed", "the table service could not confirm the claim", out, retryAfterBusyMs);
        return;
    }
    sendClaim(out);
}

void request_session::judgeForeignClaim(const row &found, effects &out)
{
    const auto content = nlohmann::json::parse(found.value, nullptr, false);
    if (stringField(content, "fingerprint") != m_request.fingerprint) {
        refuse(422, "idempotency_key_reused", "the idempotency key was used for a different request", out);
        return;
    }
    const auto status = content.find("status");
    if (stringField(content, "state") == "done" && status != content.end() && status->is_number_integer()) {
        replayOutcome({.status = status->get<int>(),
                       .contentType = std::string(stringField(content, "content_type")),
                       .body = std::string(stringField(content, "body")),
                       .headers = storedHeaders(content)},
                      out);
        return;
    }
    m_foreignClaim = true;
    refuse(409, "claim_open", "an earlier request with this idempotency key may have run", out, retryAfterOpenClaimMs);
}

// Gives a later arrival the outcome of the request that ran. It is not billed again.
void request_session::replayOutcome(service_answer answer, effects &out)
{
    m_phase = phase::Done;
    if (m_request.kind == route_kind::Service) {
        out.emplace_back(deliver_answer_effect{.answer = std::move(answer)});
        return;
    }
    out.emplace_back(deliver_token_effect{.text = std::move(answer.body)});
    out.emplace_back(finish_effect{.finishReason = "stop"});
}

void request_session::startAttempt(instant now, effects &out)
{
    const bool firstRun = m_started == m_certainlyNotRun;
    checkInvariant(m_request.repeatable || (firstRun && (!needsClaim() || m_claimHeld)), invariant::AtMostOnce, m_request.requestId);
    checkInvariant(m_attemptId.empty() && now < m_request.deadline, invariant::WholeOwnAnswer, m_request.requestId);
    ++m_started;
    m_attemptId = m_request.requestId + "-" + std::to_string(m_started);
    m_resumedAt = m_delivered;
    m_phase = phase::Running;
    out.emplace_back(
        start_attempt_effect{.attemptId = m_attemptId, .endpoint = m_endpoint, .resumeFrom = m_delivered, .deadline = m_request.deadline, .alone = m_suspect});
}

bool request_session::isCurrent(const std::string &attemptId) const
{
    return m_phase == phase::Running && attemptId == m_attemptId;
}

void request_session::failAttempt(attempt_failure failure, const std::string &detail, effects &out)
{
    if (certainlyNotRun(failure)) {
        ++m_certainlyNotRun;
    }
    m_attemptId.clear();
    m_excluded.push_back(m_endpoint);
    if (failure == attempt_failure::ConnectionLost) {
        noteConnectionLost(out);
    }
    retryOrRefuse(failure, detail, out);
}

// A poison request usually crashes its endpoint before the first token. A stream that was already running resumes as an ordinary
// request after its first lost connection, so that one crash does not send every stream of the endpoint to idle endpoints.
void request_session::noteConnectionLost(effects &out)
{
    ++m_connectionsLost;
    const bool suspect = m_delivered == m_resumedAt || m_connectionsLost > 1;
    m_suspect = m_suspect || suspect;
    out.emplace_back(note_crash_effect{.endpoint = m_endpoint, .suspect = suspect});
}

bool request_session::mayRetry(attempt_failure failure) const
{
    if (m_started >= tunables::maxAttempts || failure == attempt_failure::Rejected || m_connectionsLost >= crashesToRefuse) {
        return false;
    }
    return m_request.repeatable || (needsClaim() && certainlyNotRun(failure));
}

void request_session::retryOrRefuse(attempt_failure failure, const std::string &detail, effects &out)
{
    if (mayRetry(failure) && !m_callerGone) {
        requestView(out);
    } else if (failure == attempt_failure::Rejected) {
        refuse(400, "endpoint_rejected", detail, out);
    } else if (runState() == run_state::NotRun) {
        refuse(503, "endpoints_unavailable", detail, out, retryAfterBusyMs);
    } else {
        refuse(502, "endpoint_failed", detail, out);
    }
}

void request_session::cancelAttempt(cancel_reason reason, effects &out)
{
    if (m_attemptId.empty()) {
        return;
    }
    // Planned changes (draining, role changes, new configurations) are no reason to cancel.
    checkInvariant(reason == cancel_reason::CallerGone || reason == cancel_reason::Deadline || reason == cancel_reason::BadAnswer,
                   invariant::NoCutByPlannedChange,
                   m_request.requestId);
    out.emplace_back(cancel_attempt_effect{.attemptId = m_attemptId});
    m_attemptId.clear();
}

run_state request_session::runState() const
{
    if (m_delivered > 0) {
        return run_state::Partial;
    }
    return m_started > m_certainlyNotRun || m_foreignClaim ? run_state::Unknown : run_state::NotRun;
}

void request_session::refuse(int status, std::string_view code, std::string message, effects &out, double retryAfterMs)
{
    const run_state state = runState();
    checkInvariant(state != run_state::NotRun || (m_started == m_certainlyNotRun && m_attemptId.empty() && m_delivered == 0 && !m_foreignClaim),
                   invariant::TrueNotRun,
                   m_request.requestId);
    endWith(refuse_effect{.status = status, .code = std::string(code), .message = std::move(message), .state = state, .retryAfterMs = retryAfterMs}, out);
}

// Ends without a whole answer. A claim whose request certainly did not run is withdrawn, so that a retry may run; delivered tokens are billed.
void request_session::endWith(session_effect final, effects &out)
{
    m_final = std::move(final);
    if (m_delivered > 0) {
        m_figures = {.requests = 1, .promptTokens = static_cast<std::uint64_t>(m_request.promptTokens), .outputTokens = m_delivered};
    }
    if (m_claimHeld && m_started == m_certainlyNotRun) {
        readOutcomeRow(out);
    } else {
        keepUsage(out);
    }
}

void request_session::complete(session_effect final, service_answer outcome, effects &out)
{
    m_attemptId.clear();
    m_final = std::move(final);
    out.emplace_back(clear_suspect_effect{});
    if (m_claimHeld) {
        m_outcome = std::move(outcome);
        readOutcomeRow(out);
    } else {
        keepUsage(out);
    }
}

// Reads the version of the own claim row, which the write of the outcome is conditioned on.
void request_session::readOutcomeRow(effects &out)
{
    m_phase = phase::ReadingOutcomeRow;
    out.emplace_back(read_row_effect{.op = nextOp(), .key = claimKey()});
}

// Stores the outcome while the row still carries the own open claim. When it cannot be stored the caller gets its answer all the same;
// the claim stays open and later arrivals are answered `unknown`.
void request_session::judgeOutcomeRow(const row_read_event &event, effects &out)
{
    if (!event.result.ok()) {
        if (++m_outcomeTries < tunables::maxClaimTries) {
            readOutcomeRow(out);
        } else {
            keepUsage(out);
        }
        return;
    }
    const auto &found = *event.result;
    const auto content = found ? nlohmann::json::parse(found->value, nullptr, false) : nlohmann::json();
    if (!found || stringField(content, "nonce") != m_nonce || stringField(content, "state") != "open") {
        keepUsage(out);
        return;
    }
    m_phase = phase::StoringOutcome;
    out.emplace_back(commit_effect{
        .op = nextOp(),
        .change = {.conditions = {{.key = claimKey(), .version = found->version}},
                   .writes = {{.key = claimKey(), .value = claimValue(m_outcome ? "done" : "withdrawn")}}},
    });
}

// Has the usage held by two daemons before the last byte goes out. Requests of open routes and those without a delivered part bill nothing.
void request_session::keepUsage(effects &out)
{
    if (m_request.organisation.empty() || m_figures == usage_figures{}) {
        releaseFinal(out);
        return;
    }
    m_phase = phase::KeepingUsage;
    out.emplace_back(
        keep_usage_effect{.op = nextOp(), .record = {.requestId = m_request.requestId, .organisation = m_request.organisation, .figures = m_figures}});
}

void request_session::releaseFinal(effects &out)
{
    m_phase = phase::Done;
    if (m_claimHeld) {
        out.emplace_back(claim_ended_effect{.key = claimKey(), .nonce = m_nonce});
    }
    out.push_back(m_callerGone ? session_effect(abandon_effect{}) : std::move(*m_final));
}

op_id request_session::nextOp()
{
    m_pendingOp = ++m_lastOp;
    return m_pendingOp;
}

}
