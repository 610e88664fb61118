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

// A second crash with the same request in flight is unlikely to be a coincidence, so the request is refused from then on.
constexpr int crashRefusalThreshold = 2;
constexpr double retryAfterOpenClaimMs = 1000;
constexpr double retryAfterUnavailableMs = 500;

bool impliesNotRun(attempt_failure failure)
{
    return failure == attempt_failure::NotSent || failure == attempt_failure::Refused;
}

// Rows written by versions that did not store headers have none.
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
        return; // Late results of operations and attempts are ignored.
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

// Enforces the deadline and retries the choice of an endpoint. Once the outcome is known, the deadline no longer interrupts storing it.
void request_session::on(const tick_event &, instant now, effects &out)
{
    if (m_phase >= phase::ReadingOwnClaim) {
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
    if (m_phase == phase::ReadingOwnClaim) {
        storeOutcome(event, out);
    } else if (m_phase == phase::ReadingClaim) {
        if (event.result.ok()) {
            evaluateClaimRow(*event.result, now, out);
        } else if (++m_claimTries < tunables::maxClaimTries) {
            readClaim(out);
        } else {
            // The run state NotRun holds even if the claim was written, because this session ends here without starting an attempt.
            refuse(503, "claim_unconfirmed", "the table service could not confirm the claim", out, retryAfterUnavailableMs);
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
            recordUsage(out);
        } else {
            readOwnClaim(out);
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
        refuse(503, "claim_unavailable", "the table service did not take the claim", out, retryAfterUnavailableMs);
        break;
    }
}

// Delivers a token only if it is exactly the next one and belongs to the running attempt.
void request_session::on(const token_event &event, instant, effects &out)
{
    if (!isCurrent(event.attemptId)) {
        return;
    }
    if (event.index != m_deliveredTokens) {
        cancelAttempt(cancel_reason::BadAnswer, out);
        failAttempt(attempt_failure::BadAnswer, "token index " + std::to_string(event.index) + " instead of " + std::to_string(m_deliveredTokens), out);
        return;
    }
    checkInvariant(event.index == m_deliveredTokens && event.attemptId == m_attemptId, invariant::CompleteOwnResponse, m_request.requestId);
    ++m_deliveredTokens;
    if (m_claimHeld) {
        m_deliveredText += event.text;
    }
    out.emplace_back(deliver_token_effect{.text = event.text});
}

void request_session::on(const stream_finished_event &event, instant, effects &out)
{
    if (!isCurrent(event.attemptId)) {
        return;
    }
    // Engines may count the tokens of a resumed output from its start or from the point of resumption.
    const std::uint64_t sinceResume = m_deliveredTokens - m_resumeOffset;
    if (event.completionTokens != m_deliveredTokens && event.completionTokens != sinceResume) {
        failAttempt(attempt_failure::BadAnswer, "the endpoint counted " + std::to_string(event.completionTokens) + " tokens", out);
        return;
    }
    checkInvariant(m_attemptId == event.attemptId && m_deliveredTokens >= m_resumeOffset, invariant::CompleteOwnResponse, m_request.requestId);
    m_usage = {.requests = 1, .promptTokens = event.promptTokens, .cachedTokens = event.cachedTokens, .outputTokens = m_deliveredTokens};
    complete(finish_effect{.finishReason = event.finishReason, .figures = m_usage}, {.status = 200, .contentType = "text/plain", .body = m_deliveredText}, out);
}

void request_session::on(const service_answer_event &event, instant, effects &out)
{
    if (!isCurrent(event.attemptId)) {
        return;
    }
    m_usage = {.requests = 1, .serviceCalls = 1};
    complete(deliver_answer_effect{.answer = event.answer}, event.answer, out);
}

void request_session::on(const attempt_failed_event &event, instant, effects &out)
{
    if (isCurrent(event.attemptId)) {
        failAttempt(event.failure, event.detail, out);
    }
}

// Routes again. The endpoint is not excluded, because the next view shows whether it is still unavailable.
void request_session::on(const attempt_not_started_event &event, instant, effects &out)
{
    if (isCurrent(event.attemptId)) {
        --m_startedAttempts;
        m_attemptId.clear();
        requestView(out);
    }
}

// Cancels the work of a caller that has disconnected. A request with a claim that is already running continues, so that its outcome is
// stored and returned to a retry with the same idempotency key.
void request_session::on(const caller_gone_event &, instant, effects &out)
{
    m_callerGone = true;
    if (m_phase >= phase::ReadingOwnClaim || (m_claimHeld && !m_attemptId.empty())) {
        return;
    }
    cancelAttempt(cancel_reason::CallerGone, out);
    endIncomplete(abandon_effect{}, out);
}

void request_session::on(const usage_recorded_event &event, instant, effects &out)
{
    if (m_phase == phase::RecordingUsage && event.op == m_pendingOp) {
        emitFinalEffect(out);
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
        .promptTokens = m_request.promptTokens + static_cast<double>(m_deliveredTokens),
        .maxOutputTokens = std::max(0.0, m_request.maxOutputTokens - static_cast<double>(m_deliveredTokens)),
        .remainingMs = toMs(m_request.deadline - now),
        .repeatable = m_request.repeatable,
        .suspect = m_suspect,
        .excluded = m_excludedEndpoints,
        .seed = XXH3_64bits(m_request.requestId.data(), m_request.requestId.size()),
        .endpoints = event.endpoints,
        .demandShare = event.demandShare,
    };
}

// Chooses an endpoint and continues with the next step: admission, claim or dispatch.
void request_session::route(const endpoints_viewed_event &event, instant now, effects &out)
{
    if (event.crashes >= crashRefusalThreshold) {
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

// Waits for an endpoint. Endpoints that refused or failed earlier may be chosen again, because no other is left.
void request_session::waitForEndpoint(const route_result &routed, instant now, effects &out)
{
    if (!m_waitingSince) {
        m_waitingSince = now;
    }
    if (m_deliveredTokens == 0 && !m_suspect && now - *m_waitingSince >= tunables::endpointWaitTimeout) {
        refuse(503, "no_endpoint", routed.reason, out, retryAfterUnavailableMs);
        return;
    }
    m_excludedEndpoints.clear();
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

// Continues an admitted request with its claim, a new route decision or an attempt.
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
void request_session::evaluateClaimRow(const std::optional<row> &found, instant now, effects &out)
{
    if (found) {
        const auto content = nlohmann::json::parse(found->value, nullptr, false);
        if (stringField(content, "nonce") == m_nonce) {
            m_claimHeld = true;
            proceed(now, out);
            return;
        }
        if (stringField(content, "state") != "withdrawn") {
            evaluateForeignClaim(*found, out);
            return;
        }
    }
    // The claim is free: it was withdrawn, or the commit with unknown outcome has not taken effect.
    m_claimVersion = found ? found->version : 0;
    if (++m_claimTries >= tunables::maxClaimTries) {
        refuse(503, "claim_unconfirmed", "the table service could not confirm the claim", out, retryAfterUnavailableMs);
        return;
    }
    sendClaim(out);
}

void request_session::evaluateForeignClaim(const row &found, effects &out)
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
    m_foreignClaimOpen = true;
    refuse(409, "claim_open", "an earlier request with this idempotency key may have run", out, retryAfterOpenClaimMs);
}

// Returns the stored outcome of the earlier request with the same key. It is not billed again.
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
    const bool firstRun = m_startedAttempts == m_notRunAttempts;
    checkInvariant(m_request.repeatable || (firstRun && (!needsClaim() || m_claimHeld)), invariant::AtMostOnce, m_request.requestId);
    checkInvariant(m_attemptId.empty() && now < m_request.deadline, invariant::CompleteOwnResponse, m_request.requestId);
    ++m_startedAttempts;
    m_attemptId = m_request.requestId + "-" + std::to_string(m_startedAttempts);
    m_resumeOffset = m_deliveredTokens;
    m_phase = phase::Running;
    out.emplace_back(start_attempt_effect{
        .attemptId = m_attemptId, .endpoint = m_endpoint, .resumeFrom = m_deliveredTokens, .deadline = m_request.deadline, .exclusive = m_suspect});
}

bool request_session::isCurrent(const std::string &attemptId) const
{
    return m_phase == phase::Running && attemptId == m_attemptId;
}

void request_session::failAttempt(attempt_failure failure, const std::string &detail, effects &out)
{
    if (impliesNotRun(failure)) {
        ++m_notRunAttempts;
    }
    m_attemptId.clear();
    m_excludedEndpoints.push_back(m_endpoint);
    if (failure == attempt_failure::ConnectionLost) {
        recordLostConnection(out);
    }
    retryOrRefuse(failure, detail, out);
}

// A poison request usually crashes its endpoint before the first token. A stream that was already producing tokens therefore resumes as an
// ordinary request after its first lost connection; otherwise one crash would make all streams of the endpoint wait for idle endpoints.
void request_session::recordLostConnection(effects &out)
{
    ++m_connectionsLost;
    const bool suspect = m_deliveredTokens == m_resumeOffset || m_connectionsLost > 1;
    m_suspect = m_suspect || suspect;
    out.emplace_back(record_crash_effect{.endpoint = m_endpoint, .suspect = suspect});
}

bool request_session::mayRetry(attempt_failure failure) const
{
    if (m_startedAttempts >= tunables::maxAttempts || failure == attempt_failure::Rejected || m_connectionsLost >= crashRefusalThreshold) {
        return false;
    }
    return m_request.repeatable || (needsClaim() && impliesNotRun(failure));
}

void request_session::retryOrRefuse(attempt_failure failure, const std::string &detail, effects &out)
{
    if (mayRetry(failure) && !m_callerGone) {
        requestView(out);
    } else if (failure == attempt_failure::Rejected) {
        refuse(400, "endpoint_rejected", detail, out);
    } else if (runState() == run_state::NotRun) {
        refuse(503, "endpoints_unavailable", detail, out, retryAfterUnavailableMs);
    } else {
        refuse(502, "endpoint_failed", detail, out);
    }
}

void request_session::cancelAttempt(cancel_reason reason, effects &out)
{
    if (m_attemptId.empty()) {
        return;
    }
    // Planned changes (draining, role changes, new configurations) must not cancel a running attempt.
    checkInvariant(reason == cancel_reason::CallerGone || reason == cancel_reason::Deadline || reason == cancel_reason::BadAnswer,
                   invariant::NoRequestLostToPlannedChange,
                   m_request.requestId);
    out.emplace_back(cancel_attempt_effect{.attemptId = m_attemptId});
    m_attemptId.clear();
}

run_state request_session::runState() const
{
    if (m_deliveredTokens > 0) {
        return run_state::Partial;
    }
    return m_startedAttempts > m_notRunAttempts || m_foreignClaimOpen ? run_state::Unknown : run_state::NotRun;
}

void request_session::refuse(int status, std::string_view code, std::string message, effects &out, double retryAfterMs)
{
    const run_state state = runState();
    checkInvariant(state != run_state::NotRun
                       || (m_startedAttempts == m_notRunAttempts && m_attemptId.empty() && m_deliveredTokens == 0 && !m_foreignClaimOpen),
                   invariant::NotRunIsTrue,
                   m_request.requestId);
    endIncomplete(refuse_effect{.status = status, .code = std::string(code), .message = std::move(message), .state = state, .retryAfterMs = retryAfterMs}, out);
}

// Ends the session without a complete answer. Delivered tokens are billed. The claim of a request that certainly did not run is withdrawn,
// so that a retry may run.
void request_session::endIncomplete(session_effect final, effects &out)
{
    m_finalEffect = std::move(final);
    if (m_deliveredTokens > 0) {
        m_usage = {.requests = 1, .promptTokens = static_cast<std::uint64_t>(m_request.promptTokens), .outputTokens = m_deliveredTokens};
    }
    if (m_claimHeld && m_startedAttempts == m_notRunAttempts) {
        readOwnClaim(out);
    } else {
        recordUsage(out);
    }
}

void request_session::complete(session_effect final, service_answer outcome, effects &out)
{
    m_attemptId.clear();
    m_finalEffect = std::move(final);
    out.emplace_back(clear_suspect_effect{});
    if (m_claimHeld) {
        m_outcome = std::move(outcome);
        readOwnClaim(out);
    } else {
        recordUsage(out);
    }
}

// Reads this session's claim row, because the write of the outcome is conditional on its version.
void request_session::readOwnClaim(effects &out)
{
    m_phase = phase::ReadingOwnClaim;
    out.emplace_back(read_row_effect{.op = nextOp(), .key = claimKey()});
}

// Stores the outcome if the row still carries this session's open claim. If the outcome cannot be stored, the caller gets its answer
// nevertheless; the claim stays open, and retries are refused with run state `unknown`.
void request_session::storeOutcome(const row_read_event &event, effects &out)
{
    if (!event.result.ok()) {
        if (++m_outcomeTries < tunables::maxClaimTries) {
            readOwnClaim(out);
        } else {
            recordUsage(out);
        }
        return;
    }
    const auto &found = *event.result;
    const auto content = found ? nlohmann::json::parse(found->value, nullptr, false) : nlohmann::json();
    if (!found || stringField(content, "nonce") != m_nonce || stringField(content, "state") != "open") {
        recordUsage(out);
        return;
    }
    m_phase = phase::StoringOutcome;
    out.emplace_back(commit_effect{
        .op = nextOp(),
        .change = {.conditions = {{.key = claimKey(), .version = found->version}},
                   .writes = {{.key = claimKey(), .value = claimValue(m_outcome ? "done" : "withdrawn")}}},
    });
}

// Records the usage, with a copy at a peer if one can be reached, before the last byte is sent. Requests of open routes and requests that
// delivered nothing are not billed.
void request_session::recordUsage(effects &out)
{
    if (m_request.organisation.empty() || m_usage == usage_figures{}) {
        emitFinalEffect(out);
        return;
    }
    m_phase = phase::RecordingUsage;
    out.emplace_back(
        record_usage_effect{.op = nextOp(), .record = {.requestId = m_request.requestId, .organisation = m_request.organisation, .figures = m_usage}});
}

void request_session::emitFinalEffect(effects &out)
{
    m_phase = phase::Done;
    if (m_claimHeld) {
        out.emplace_back(claim_ended_effect{.key = claimKey(), .nonce = m_nonce});
    }
    out.push_back(m_callerGone ? session_effect(abandon_effect{}) : std::move(*m_finalEffect));
}

op_id request_session::nextOp()
{
    m_pendingOp = ++m_lastOp;
    return m_pendingOp;
}

}
