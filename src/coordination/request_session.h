#pragma once

#include "protocol/control.h"
#include "protocol/decisions.h"
#include "protocol/usage_record.h"
#include "transport/core_time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lacewinglock
{

/// What is known about the execution of a refused request.
enum class run_state {
    NotRun, ///< No endpoint has run any part of it and none will.
    Unknown, ///< An endpoint may have run it.
    Partial, ///< Part of the answer was delivered to the caller.
};

/// One caller request after parsing, authentication and the choice of its route.
struct session_request
{
    std::string requestId;
    std::string organisation; ///< Empty on open routes.
    std::string keyId;
    double weight = 1;
    organisation_limits limits;
    int keyLimit = 0;
    std::string group;
    route_kind kind = route_kind::Model;
    bool repeatable = true;
    std::string idempotencyKeyHash; ///< Empty if the request has no idempotency key.
    std::string fingerprint; ///< Hash of the request content. Identifies a poison request across retries by its caller.
    std::string promptHash;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    instant deadline;
    std::uint64_t configVersion = 0;
    std::string daemon;
    std::string incarnation;
};

// Events.

struct start_event
{
};

/// Result of view_endpoints_effect.
struct endpoints_viewed_event
{
    op_id op = 0;
    std::vector<endpoint_view> endpoints;
    int crashes = 0; ///< Crashes recorded in the suspect table for the request's fingerprint.
    double demandShare = 1; ///< Share of the group's demand that arrives at this daemon, 0 to 1.
};

/// Result of admit_effect, after any time in the queue.
struct admission_event
{
    op_id op = 0;
    admit_result result;
};

struct token_event
{
    std::string attemptId;
    std::uint64_t index = 0;
    std::string text;
};

/// The endpoint ended its stream with a finish reason, usage figures and the end mark.
struct stream_finished_event
{
    std::string attemptId;
    std::string finishReason;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
};

/// Complete response of a plain service.
struct service_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers; ///< End-to-end headers except Content-Type.

    bool operator==(const service_answer &) const = default;
};

struct service_answer_event
{
    std::string attemptId;
    service_answer answer;
};

enum class attempt_failure {
    NotSent, ///< No byte reached the endpoint.
    Refused, ///< The endpoint answered 503 or 429 and did not run the request.
    Rejected, ///< The endpoint answered another 4xx status: the request itself is invalid.
    ConnectionLost, ///< The connection was lost after sending; the endpoint may have crashed.
    TimedOut, ///< No response in time after sending.
    BadAnswer, ///< Mismatched attempt id, malformed or truncated response, missing or repeated token, or server error.
};

struct attempt_failed_event
{
    std::string attemptId;
    attempt_failure failure = attempt_failure::ConnectionLost;
    std::string detail;
};

/// The endpoint stopped accepting the attempt between routing and dispatch, for example because it was reserved. Nothing was sent.
struct attempt_not_started_event
{
    std::string attemptId;
};

struct caller_gone_event
{
};

/// Result of record_usage_effect: this daemon holds the usage and, unless no peer could be reached, so does a peer in another failure domain.
struct usage_recorded_event
{
    op_id op = 0;
};

using session_event = std::variant<start_event,
                                   tick_event,
                                   endpoints_viewed_event,
                                   admission_event,
                                   row_read_event,
                                   commit_event,
                                   token_event,
                                   stream_finished_event,
                                   service_answer_event,
                                   attempt_failed_event,
                                   attempt_not_started_event,
                                   caller_gone_event,
                                   usage_recorded_event>;

// Effects.

struct view_endpoints_effect
{
    op_id op = 0;
};

/// Passes the request to the admission gate, which fills in its counters and calls decideAdmission under its lock.
struct admit_effect
{
    op_id op = 0;
    admit_input input;
};

struct start_attempt_effect
{
    std::string attemptId;
    std::string endpoint;
    std::uint64_t resumeFrom = 0;
    instant deadline;
    bool exclusive = false; ///< The request is suspect, so the endpoint is reserved for it until the attempt ends.
};

struct cancel_attempt_effect
{
    std::string attemptId;
};

/// Delivers the next token of the answer to the caller.
struct deliver_token_effect
{
    std::string text;
};

/// The answer is complete; its last byte may be sent to the caller.
struct finish_effect
{
    std::string finishReason;
    usage_figures figures;
};

struct deliver_answer_effect
{
    service_answer answer;
};

struct refuse_effect
{
    int status = 500;
    std::string code;
    std::string message;
    run_state state = run_state::Unknown;
    double retryAfterMs = 0;
};

/// Ends a session whose caller has disconnected.
struct abandon_effect
{
};

struct record_usage_effect
{
    op_id op = 0;
    usage_record record;
};

struct record_crash_effect
{
    std::string endpoint;
    bool suspect = false; ///< Count the crash against the request's fingerprint.
};

struct clear_suspect_effect
{
};

/// A session that held a claim has ended. The claim row may be deleted after tunables::claimRetention if it is completed.
struct claim_ended_effect
{
    std::string key;
    std::string nonce;
};

struct record_decision_effect
{
    decision_record record;
};

using session_effect = std::variant<view_endpoints_effect,
                                    admit_effect,
                                    read_row_effect,
                                    commit_effect,
                                    start_attempt_effect,
                                    cancel_attempt_effect,
                                    deliver_token_effect,
                                    finish_effect,
                                    deliver_answer_effect,
                                    refuse_effect,
                                    abandon_effect,
                                    record_usage_effect,
                                    record_crash_effect,
                                    clear_suspect_effect,
                                    claim_ended_effect,
                                    record_decision_effect>;

/// State machine of one caller request, from endpoint selection to the last byte. Does no I/O and reads no clock.
class request_session
{
public:
    explicit request_session(session_request request);

    /// Handles one event and appends the resulting effects to `out`.
    void handle(const session_event &event, instant now, std::vector<session_effect> &out);

    /// True once the session has ended; further events are ignored.
    bool finished() const;

private:
    enum class phase {
        New,
        Viewing,
        WaitingForEndpoint,
        Admitting,
        Claiming,
        ReadingClaim,
        Running,
        ReadingOwnClaim,
        StoringOutcome,
        RecordingUsage,
        Done,
    };

    using effects = std::vector<session_effect>;

    void on(const start_event &event, instant now, effects &out);
    void on(const tick_event &event, instant now, effects &out);
    void on(const endpoints_viewed_event &event, instant now, effects &out);
    void on(const admission_event &event, instant now, effects &out);
    void on(const row_read_event &event, instant now, effects &out);
    void on(const commit_event &event, instant now, effects &out);
    void on(const token_event &event, instant now, effects &out);
    void on(const stream_finished_event &event, instant now, effects &out);
    void on(const service_answer_event &event, instant now, effects &out);
    void on(const attempt_failed_event &event, instant now, effects &out);
    void on(const attempt_not_started_event &event, instant now, effects &out);
    void on(const caller_gone_event &event, instant now, effects &out);
    void on(const usage_recorded_event &event, instant now, effects &out);

    enum class cancel_reason {
        CallerGone,
        Deadline,
        BadAnswer,
    };

    void requestView(effects &out);
    void route(const endpoints_viewed_event &event, instant now, effects &out);
    route_input makeRouteInput(const endpoints_viewed_event &event, instant now);
    void waitForEndpoint(const route_result &routed, instant now, effects &out);
    void admit(const route_result &routed, instant now, effects &out);
    void proceed(instant now, effects &out);
    void sendClaim(effects &out);
    void readClaim(effects &out);
    void evaluateClaimRow(const std::optional<row> &found, instant now, effects &out);
    void evaluateForeignClaim(const row &found, effects &out);
    void replayOutcome(service_answer answer, effects &out);
    void startAttempt(instant now, effects &out);
    void failAttempt(attempt_failure failure, const std::string &detail, effects &out);
    void recordLostConnection(effects &out);
    void retryOrRefuse(attempt_failure failure, const std::string &detail, effects &out);
    void cancelAttempt(cancel_reason reason, effects &out);
    void complete(session_effect final, service_answer outcome, effects &out);
    void readOwnClaim(effects &out);
    void storeOutcome(const row_read_event &event, effects &out);
    void recordUsage(effects &out);
    void emitFinalEffect(effects &out);
    void refuse(int status, std::string_view code, std::string message, effects &out, double retryAfterMs = 0);
    void endIncomplete(session_effect final, effects &out);
    run_state runState() const;
    bool isCurrent(const std::string &attemptId) const;
    bool mayRetry(attempt_failure failure) const;
    bool needsClaim() const;
    std::string claimKey() const;
    std::string claimValue(std::string_view state) const;
    op_id nextOp();

    session_request m_request;
    phase m_phase = phase::New;
    op_id m_lastOp = 0;
    op_id m_pendingOp = 0; ///< The only operation whose result is awaited. Results of earlier operations are dropped.
    bool m_admitted = false;
    bool m_claimHeld = false;
    bool m_foreignClaimOpen = false; ///< Another session holds an open claim on the idempotency key and may have run this request.
    bool m_callerGone = false;
    std::string m_nonce;
    std::uint64_t m_claimVersion = 0; ///< Version of the row that the claim replaces; 0 if there is no row.
    int m_claimTries = 0;
    int m_outcomeTries = 0;
    int m_startedAttempts = 0;
    int m_notRunAttempts = 0; ///< Started attempts that the endpoint certainly did not run.
    int m_connectionsLost = 0;
    bool m_suspect = false;
    std::string m_attemptId; ///< Id of the running attempt; empty if none is running.
    std::string m_endpoint; ///< Endpoint of the next or running attempt.
    instant m_routedAt;
    std::optional<instant> m_waitingSince;
    std::uint64_t m_deliveredTokens = 0;
    std::uint64_t m_resumeOffset = 0; ///< Delivered tokens at the start of the running attempt.
    std::string m_deliveredText; ///< Collected only for requests with a claim, whose outcome is stored.
    std::vector<std::string> m_excludedEndpoints;
    usage_figures m_usage;
    std::optional<session_effect> m_finalEffect; ///< Emitted once the outcome and the usage are stored.
    std::optional<service_answer> m_outcome; ///< Outcome to store in the claim row. Without one the claim is withdrawn.
};

}
