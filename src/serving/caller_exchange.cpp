#include "serving/caller_exchange.h"

#include "serving/caller_admission.h"
#include "serving/endpoint_notice.h"
#include "serving/pace_samples.h"
#include "serving/peer_exchange.h"
#include "serving/quota_check.h"
#include "state/rendezvous.h"
#include "transport/boot_clock.h"
#include "transport/spawn.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <charconv>
#include <span>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

constexpr int lowestPriority = 9; // Engines accept priorities from 0 (most urgent) to 9.
constexpr auto crashProbeTimeout = std::chrono::milliseconds(400); // The usual connect timeout.
constexpr double noConfigurationRetryAfterMs = 300; // The first configuration arrives within a few store calls.
constexpr double staleKeyRetryAfterMs = 500;
constexpr double stoppingRetryAfterMs = 50; // Another daemon can take the request at once.
// For this long after SIGTERM a stream, or a call that may be repeated, is expected to end within four times its target. Callers are elsewhere by then,
// and the target of a stream covers its first event only.
constexpr auto callersLeaveTime = std::chrono::seconds(2);
constexpr auto shutdownMargin = std::chrono::milliseconds(1500); // Time between the last answer and the forced end of the process.
constexpr auto lastAnswerMargin = std::chrono::milliseconds(900); // The process ends 700 ms before it is killed.

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::ranges::equal(left, right, [](char a, char b) {
               const auto normalise = [](char letter) {
                   return letter == '_' ? '-' : absl::ascii_tolower(static_cast<unsigned char>(letter));
               };
               return normalise(a) == normalise(b);
           });
}

bool isHopByHop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length:
        return true;
    default:
        return false;
    }
}

// Headers listed in the Connection header apply to this connection only and are not forwarded. The request id, Host and X- headers are exempt, so
// that a caller cannot use the Connection header to remove what identifies the request.
std::vector<std::string> connectionHeaders(const edge_context &context, const http::request_header<> &head)
{
    std::vector<std::string> out;
    const auto &fields = context.platform.wire.fields;
    for (const auto &piece : absl::StrSplit(std::string(toView(head[http::field::connection])), ',', absl::SkipWhitespace())) {
        std::string name(absl::StripAsciiWhitespace(piece));
        if (!sameHeaderName(name, fields.requestId) && !sameHeaderName(name, "Host") && !absl::StartsWithIgnoreCase(name, "x-")) {
            out.push_back(std::move(name));
        }
    }
    return out;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, std::min(target.find('?'), target.size()));
}

std::string fingerprintOf(const caller_request &request)
{
    const auto &message = request.received->message;
    const auto target = toView(message.target());
    const auto seed = XXH3_64bits_withSeed(request.organisation.data(), request.organisation.size(), XXH3_64bits(target.data(), target.size()));
    return absl::StrCat(absl::Hex(XXH3_64bits_withSeed(message.body().data(), message.body().size(), seed)));
}

/// Error response for a request that is not forwarded.
struct request_refusal
{
    http::status status;
    std::string_view code;
    std::string_view message;
    double retryAfterMs = -1;
};

// The last part belongs to the request or its session, and the fingerprint covers it.
std::vector<std::string> sharedPartsOf(const std::optional<prompt_info> &prompt)
{
    std::vector<std::string> out;
    if (prompt && !prompt->prefixBlocks.empty()) {
        for (const auto &block : std::span(prompt->prefixBlocks).first(prompt->prefixBlocks.size() - 1)) {
            out.push_back(suspect_requests::partKey(block.id));
        }
    }
    return out;
}

/// What a request is refused for: the key of a part of its prompt or its fingerprint; null if it is not suspect.
const std::string *findSuspect(const edge_context &context, const caller_request &request, instant now)
{
    if (const auto *part = context.suspects.findCrashingPart(request.sharedParts, now)) {
        return part;
    }
    return context.suspects.isSuspect(request.fingerprint, now) ? &request.fingerprint : nullptr;
}

// A suspect request is refused, except for a trial from time to time at one daemon of the fleet.
std::optional<request_refusal> checkSuspects(edge_context &context, caller_request &request)
{
    const instant now = bootNow();
    const auto *suspect = findSuspect(context, request, now);
    if (suspect == nullptr) {
        return std::nullopt;
    }
    if (rendezvousRank(*suspect, context.settings.id, context.memberIds()) == 0 && context.suspects.startTrial(*suspect, now)) {
        request.isTrial = true;
        auto line = context.line("suspect_trial");
        line.add("id", request.id).add("suspect", *suspect);
        context.log.write(line);
        return std::nullopt;
    }
    context.suspects.noteRefusal(*suspect, now);
    if (suspect != &request.fingerprint) {
        return request_refusal{
            http::status::service_unavailable, "part_crashes_endpoints", "a part of the prompt crashed several endpoints", crashRetryAfterMs};
    }
    return request_refusal{http::status::service_unavailable, "crashes_endpoints", "the request crashed several endpoints", crashRetryAfterMs};
}

// The request must have exactly one key header: with several keys its organisation would be ambiguous.
std::optional<request_refusal> checkKey(const edge_context &context, caller_request &request)
{
    const auto &configuration = *request.configuration;
    if (!configuration.needsKeys || request.route->authExempt) {
        return std::nullopt;
    }
    if (!context.keysFresh(bootNow())) {
        return request_refusal{http::status::service_unavailable, "keys_unknown", "the daemon can't tell which keys are valid now", staleKeyRetryAfterMs};
    }
    const auto range = request.received->message.equal_range(fromView(context.platform.wire.fields.apiKey));
    if (std::distance(range.first, range.second) != 1) {
        return request_refusal{http::status::unauthorized, "no_key", "the request needs exactly one key"};
    }
    const auto owner = configuration.keys.find(std::string(toView(range.first->value())));
    if (owner == configuration.keys.end()) {
        return request_refusal{http::status::unauthorized, "wrong_key", "the key is not valid"};
    }
    const auto &organisation = configuration.organisations[owner->second];
    request.organisation = organisation.name;
    if (organisation.priority >= 0) {
        request.priority = organisation.priority;
    }
    request.quota = organisation.quota ? &*organisation.quota : nullptr;
    return std::nullopt;
}

std::optional<request_refusal> routeRequest(edge_context &context, caller_request &request)
{
    if (!context.configuration) {
        return request_refusal{http::status::service_unavailable, "no_configuration", "the daemon has no configuration yet", noConfigurationRetryAfterMs};
    }
    request.configuration = context.configuration;
    const auto &message = request.received->message;
    request.route = findRoute(*request.configuration, toView(message[http::field::host]), pathOf(toView(message.target())));
    if (request.route == nullptr) {
        return request_refusal{http::status::not_found, "no_route", "no route leads to this host and path"};
    }
    request.priority = request.route->priority;
    if (auto refusal = checkKey(context, request)) {
        return refusal;
    }
    request.service = pickService(*request.route, context.jitter());
    const auto requestedMs = parseInteger(toView(message[fromView(context.platform.wire.fields.deadlineMs)]));
    const instant callerDeadline = requestedMs && *requestedMs >= 0
        ? request.arrivedAt + std::chrono::milliseconds(std::min<std::int64_t>(*requestedMs, 3'600'000))
        : request.arrivedAt + request.route->timeout;
    request.deadline = std::min(callerDeadline, request.arrivedAt + request.route->timeout);
    // During shutdown refuse requests that may not finish before the process is killed; the caller retries at another daemon.
    if (context.stopping) {
        const instant now = bootNow();
        const instant killedAt = context.stoppingSince + context.settings.shutdownGrace;
        const duration remaining = request.deadline - now;
        const bool early = now - context.stoppingSince < callersLeaveTime && (request.route->stream || request.route->repeatable);
        if (now + (early ? std::min<duration>(remaining, 4 * request.route->target) : remaining) + shutdownMargin > killedAt) {
            return request_refusal{http::status::service_unavailable, "stopping", "the daemon is shutting down", stoppingRetryAfterMs};
        }
        request.deadline = std::min<instant>(request.deadline, killedAt - lastAnswerMargin); // An error is better than a closed connection.
    }
    request.fingerprint = fingerprintOf(request);
    request.prompt = context.platform.wire.parsePrompt(message);
    request.sharedParts = sharedPartsOf(request.prompt);
    return checkSuspects(context, request);
}

void logOutcome(edge_context &context, const caller_request &request, const caller_outcome &outcome)
{
    const instant now = bootNow();
    auto line = context.line("request");
    line.add("id", request.id).add("status", outcome.status).add("reason", outcome.reason).add("ms", toMs(now - request.arrivedAt));
    if (request.route != nullptr) {
        line.add("config", request.configuration->version).add("route", request.route->name).add("service", request.service);
        line.add("org", request.organisation).add("attempts", outcome.attempts);
    }
    if (!outcome.endpoint.empty()) {
        line.add("endpoint", outcome.endpoint);
    }
    if (outcome.firstByteMs >= 0) {
        line.add("first_ms", outcome.firstByteMs);
    }
    context.log.write(line);
    context.counters.count(metric_counter::Requests);
    context.counters.observe(metric_histogram::RequestMs, toMs(now - request.arrivedAt));
    if (outcome.status == 503 || outcome.status == 429) {
        context.counters.count(metric_counter::RefusalsNotRun);
    } else if (outcome.status == 502 || outcome.status == 504) {
        context.counters.count(metric_counter::RefusalsUnknown);
    }
}

}

http_response makeErrorResponse(const edge_context &context, http::status status, std::string_view code, std::string_view message, double retryAfterMs)
{
    http_response answer(status, 11);
    answer.set(http::field::content_type, "application/json");
    if (retryAfterMs >= 0) {
        answer.set(http::field::retry_after, absl::StrFormat("%.3f", retryAfterMs / 1000));
    }
    answer.body() = context.platform.wire.errorBody(code, message);
    return answer;
}

http_request makeForwardedRequest(const edge_context &context, const caller_request &request, const endpoint_entry &endpoint, instant now)
{
    const auto &wire = context.platform.wire.fields;
    const auto &message = request.received->message;
    http_request out;
    out.method_string(message.method_string());
    out.target(message.target());
    out.version(11);
    const auto dropped = connectionHeaders(context, message);
    for (const auto &field : message) {
        const auto name = toView(field.name_string());
        const auto isSameHeader = [&](const std::string &other) {
            return sameHeaderName(name, other);
        };
        if (isHopByHop(field.name()) || std::ranges::any_of(wire.reservedFields, isSameHeader) || std::ranges::any_of(dropped, isSameHeader)) {
            continue;
        }
        out.insert(field.name_string(), field.value());
    }
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count();
    out.set(fromView(wire.deadlineMs), std::to_string(std::max<std::int64_t>(remainingMs, 1)));
    out.set(fromView(wire.expectedEndpoint), endpoint.id);
    if (request.route->stream) {
        out.set(fromView(wire.requestPriority), std::to_string(std::clamp(request.priority, 0, lowestPriority)));
    }
    if (!request.organisation.empty()) {
        out.set(fromView(wire.organisation), request.organisation);
    }
    out.body() = message.body();
    if (!out.body().empty() || message.has_content_length() || message.chunked()) {
        out.content_length(out.body().size());
    }
    return out;
}

http::response_header<> makeAnswerHead(const http::response_header<> &head)
{
    http::response_header<> out;
    out.version(11);
    out.result(head.result_int());
    out.reason(head.reason());
    for (const auto &field : head) {
        if (!isHopByHop(field.name())) {
            out.insert(field.name_string(), field.value());
        }
    }
    return out;
}

bool isMarkedNotExecuted(const edge_context &context, const http::response_header<> &head)
{
    return head.result() == http::status::misdirected_request || head.find(fromView(context.platform.wire.fields.notExecuted)) != head.end();
}

bool impliesNotExecuted(int status)
{
    return status == 503 || status == 429 || status == 408;
}

bool isSealed(const edge_context &context, const http::response_header<> &head)
{
    return head.find(fromView(context.platform.wire.fields.answerSeal)) != head.end();
}

void noteAnswer(edge_context &context, endpoint_state &endpoint, const http::response_header<> &head, instant sentAt)
{
    const auto notice = context.platform.wire.parseNotice(head);
    const bool changed = applyNotice(context.endpoints, endpoint, notice, sentAt, bootNow());
    if (notice.load) {
        noteLoadFigures(context, endpoint, *notice.load);
    }
    if (changed) {
        expediteSummary(context);
    }
    if (!changed && !notice.pause) {
        return;
    }
    context.counters.count(metric_counter::EndpointNotices);
    auto line = context.line("endpoint_notice");
    line.add("endpoint", endpoint.entry.id).add("status", static_cast<int>(head.result_int())).add("leaving", notice.leaving);
    line.add("limit_per_s", notice.limit.value_or(-1)).add("pause_ms", toMs(notice.pause.value_or(duration::zero())));
    context.log.write(line);
}

namespace
{

// A crashed endpoint refuses or ignores a new connection; an endpoint that only lost a connection accepts one.
task<void>
confirmCrash(edge_context &context, std::string address, std::uint64_t process, std::string id, std::string fingerprint, std::vector<std::string> parts)
{
    const auto server = parseAddress(address);
    if (!server.ok()) {
        co_return;
    }
    // Shared with the timer's handler, which may run after this coroutine has ended.
    const auto probe = std::make_shared<tcp::socket>(context.loop);
    asio::steady_timer timer(context.loop, crashProbeTimeout);
    timer.async_wait([probe](const boost::system::error_code &error) {
        if (!error) {
            boost::system::error_code ignored;
            probe->close(ignored);
        }
    });
    boost::system::error_code error;
    co_await probe->async_connect(*server, errorTo(error));
    timer.cancel();
    // Other errors are no evidence: a reset connection had been accepted, and this daemon may lack descriptors or ports.
    const bool refused = error == asio::error::connection_refused;
    const bool silent = error == asio::error::operation_aborted || error == asio::error::timed_out || error == asio::error::host_unreachable;
    if (!refused && !silent) {
        co_return;
    }
    const instant now = bootNow();
    context.suspects.recordCrash(fingerprint, process, now);
    auto line = context.line("suspect_request");
    line.add("id", id).add("fingerprint", fingerprint).add("address", address).add("error", error.message());
    line.add("crashes", context.suspects.crashes(fingerprint, now));
    std::vector<std::string> counts;
    for (const auto &part : parts) {
        context.suspects.recordCrash(part, process, now);
        counts.push_back(absl::StrCat(part, "=", context.suspects.crashes(part, now)));
    }
    line.add("parts", absl::StrJoin(counts, " "));
    context.log.write(line);
}

}

void checkForCrash(edge_context &context, const endpoint_state &endpoint, const caller_request &request)
{
    spawnBackground(
        context.loop, confirmCrash(context, endpoint.entry.address, endpoint.hash, request.id, request.fingerprint, request.sharedParts), "confirm_crash");
}

void recordSuccess(edge_context &context, const caller_request &request)
{
    const instant now = bootNow();
    context.suspects.recordSuccess(request.fingerprint, now);
    for (const auto &part : request.sharedParts) {
        context.suspects.recordSuccess(part, now);
    }
}

bool crashesEndpoints(const edge_context &context, const caller_request &request)
{
    return request.isTrial ? request.trialSent : findSuspect(context, request, bootNow()) != nullptr;
}

exchange_options forwardOptions(const edge_context &context, const caller_request &request, instant deadline)
{
    exchange_options options;
    options.deadline = deadline;
    options.responseIdField = context.platform.wire.fields.requestId;
    // When a reused connection breaks while the request is sent, a call that must not be repeated ends without an answer. Such calls therefore use
    // an idle connection only with a larger margin before the server closes it.
    options.minIdleTimeLeft = request.route->repeatable ? std::chrono::milliseconds(300) : std::chrono::milliseconds(1000);
    return options;
}

namespace
{

task<caller_outcome> admitAndForward(edge_context &context, caller_request &request)
{
    if (const auto refused = co_await admitCaller(context, request)) {
        constexpr auto status = http::status::service_unavailable;
        co_await request.reply->send(makeErrorResponse(context, status, "admission", refused->reason, refused->retryAfterMs));
        caller_outcome outcome{.status = static_cast<int>(status), .reason = "admission"};
        co_return outcome;
    }
    context.retryBudget.noteRequest(request.service, request.arrivedAt);
    if (context.settings.hedgeRatio > 0) {
        context.hedges.noteRequest(request.service, context.settings.hedgeRatio, request.arrivedAt);
    }
    context.counters.change(metric_gauge::RequestsInFlight, 1);
    caller_outcome outcome;
    // Not a conditional expression: g++ 12 destroys the operands of one with co_await twice.
    if (request.route->stream) {
        outcome = co_await forwardStream(context, request);
    } else {
        outcome = co_await forwardService(context, request);
    }
    context.counters.change(metric_gauge::RequestsInFlight, -1);
    noteAdmittedEnd(context, request, outcome);
    co_return outcome;
}

}

task<void> serveCaller(edge_context &context, received_request &received, server_reply &reply)
{
    caller_request request{.received = &received, .reply = &reply, .arrivedAt = received.receivedAt};
    request.id = toView(received.message[fromView(context.platform.wire.fields.requestId)]);
    caller_outcome outcome;
    if (const auto refusal = routeRequest(context, request)) {
        outcome = {.status = static_cast<int>(refusal->status), .reason = refusal->code};
        co_await reply.send(makeErrorResponse(context, refusal->status, refusal->code, refusal->message, refusal->retryAfterMs));
    } else if (request.quota == nullptr || co_await acquireQuota(context, request, outcome)) {
        outcome = co_await admitAndForward(context, request);
        returnQuota(context, request, outcome);
    }
    logOutcome(context, request, outcome);
}

}
