#include "serving/caller_exchange.h"

#include "serving/call_hedge.h"
#include "serving/caller_admission.h"
#include "serving/ejection_watch.h"
#include "serving/endpoint_turn.h"
#include "serving/pace_samples.h"
#include "serving/placement_log.h"
#include "transport/boot_clock.h"
#include "transport/timeout.h"

#include <algorithm>
#include <functional>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr double initialWorkMs = 50; // Used until the route has measured calls.
constexpr double workSmoothing = 0.05; // Weight of a new sample in the moving mean, which thus covers about twenty calls.
constexpr int maxUnreachableEndpoints = 4; // Endpoints that one request tries although they can't be reached.
constexpr double attemptTimeoutFactor = 1.25; // A repeatable call is sent elsewhere after this multiple of the route's latency target.
constexpr double maxLateQueueMs = 40; // As for streams, a late call joins a queue of one short call at most where admission is in order.
constexpr auto elsewhereRetryInterval = std::chrono::milliseconds(100); // Until it is tried again to send it elsewhere.

/// One dispatch of the request to an endpoint and its result.
struct attempt
{
    exchange_state state = exchange_state::NotSent;
    bool placeAgain = false; ///< The endpoint's state changed while the request waited for its turn.
    std::shared_ptr<client_exchange> exchange;
    std::string body;
};

service_input makePlacementInput(edge_context &context,
                                 const caller_request &request,
                                 const std::vector<endpoint_ptr> &endpoints,
                                 const std::set<std::string> &failedEndpoints)
{
    const instant now = bootNow();
    const auto work = context.workMs.find(request.route->name);
    service_input input{
        .requestId = request.id,
        .configVersion = request.configuration->version,
        .workMs = toTenth(work == context.workMs.end() ? initialWorkMs : work->second),
        .remainingMs = toTenth(toMs(request.deadline - now)),
        .onTimeMs = toTenth(std::max(0.0, toMs(request.arrivedAt + request.route->target - now))),
        .peerAgeMs = toTenth(context.exchange.ageMs(bootNow())),
        .jitter = toTenth(context.jitter()),
    };
    input.uneven = makeUnevenPace(context, request.service, now);
    if (input.uneven) {
        input.workMs = toTenth(context.endpoints.servicePace(request.service).callMs(request.route->name).value_or(input.workMs));
    }
    const turn_times turns(context, now);
    const ejection_view ejections(context, endpoints, failedEndpoints, request.route->repeatable && request.route->maxAttempts > 1, now);
    for (const auto &endpoint : endpoints) {
        input.endpoints.push_back({
            .id = endpoint->entry.id,
            .local = endpoint->entry.failureDomain == context.settings.failureDomain,
            .excluded = !endpoint->usable(now) || failedEndpoints.contains(endpoint->entry.id) || ejections.excludes(*endpoint),
            .running = endpoint->own.running + endpoint->peers.running,
            .slots = std::max(1, endpoint->entry.slots),
            .failureRate = ejections.failureRate(*endpoint, request.route->repeatable),
            .overdueMs = endpoint->overdueMs(now),
            .heldMs = turns.heldMs(*endpoint),
            .pace = input.uneven ? toHundredth(endpoint->pace.estimate(now, 1)) : 1,
        });
    }
    return input;
}

/// When an attempt is given up before the request's deadline.
struct attempt_limit
{
    duration time; ///< From the dispatch.
    std::function<bool()> mayGoElsewhere; ///< Whether the call can be sent to another endpoint now. If not, the attempt goes on. Empty: no limit.
};

// Times out the exchange at `dueAt`, or at a later check if the call can't go elsewhere. The deadline is the time of the check, so that an answer that
// arrived before it is still read after a pause.
void limitAttempt(timeout &timer, client_exchange &exchange, const attempt_limit &limit, instant dueAt)
{
    timer.start(dueAt - bootNow(), [&timer, &exchange, &limit, dueAt] {
        // The exchange sets its own deadline while it connects.
        if (!exchange.connecting() && limit.mayGoElsewhere()) {
            exchange.setDeadline(dueAt);
        } else {
            limitAttempt(timer, exchange, limit, bootNow() + elsewhereRetryInterval);
        }
    });
}

task<attempt>
send(edge_context &context, const caller_request &request, const endpoint_ptr &endpoint, const attempt_limit &limit, double predictedMs, hedged_call *hedged)
{
    attempt out;
    const auto address = parseAddress(endpoint->entry.address);
    if (!address.ok()) {
        co_return out;
    }
    auto callTimer = startCallTimer(*endpoint, bootNow());
    const load_reservation reservation(endpoint, 0);
    if (!co_await awaitTurn(context, request, endpoint)) {
        out.state = exchange_state::NotSent;
        out.placeAgain = true;
        co_return out;
    }
    const instant now = bootNow();
    callTimer.sentAt = now;
    const answer_deadline answerDeadline(endpoint, now + std::chrono::milliseconds(std::lround(3 * predictedMs)));
    out.exchange = std::make_shared<client_exchange>(context.pool, *address, forwardOptions(context, request, request.deadline));
    request.reply->onDisconnect([exchange = out.exchange] {
        exchange->cancel();
    });
    timeout timer(context.loop); // Ends before what its action refers to.
    if (limit.mayGoElsewhere) {
        limitAttempt(timer, *out.exchange, limit, now + limit.time);
    }
    if (hedged != nullptr) {
        hedged->watch(out.exchange);
    }
    auto message = makeForwardedRequest(context, request, endpoint->entry, now);
    out.state = co_await callEndpoint(context, *out.exchange, endpoint, std::move(message), out.body);
    if (hedged != nullptr) {
        co_await hedged->settle(out.state);
    }
    if (out.state == exchange_state::Complete && out.exchange->head().result_int() < 300) {
        noteCallTime(context, *endpoint, request.route->name, callTimer, bootNow());
    }
    request.reply->onDisconnect(nullptr);
    co_return out;
}

attempt_result classifyResult(exchange_state state, int status, bool notRun)
{
    switch (state) {
    case exchange_state::NotSent:
        return attempt_result::Unreachable;
    case exchange_state::Lost:
        return attempt_result::ConnectionLost;
    case exchange_state::TimedOut:
        return attempt_result::NoAnswer;
    case exchange_state::Malformed:
        return attempt_result::Failed;
    default:
        return notRun ? attempt_result::Rejected : status >= 500 ? attempt_result::Failed : attempt_result::Succeeded;
    }
}

// Of two failed attempts, a whole answer of an endpoint can be passed on. Otherwise the first attempt decides.
bool isBetterFailure(const edge_context &context, const attempt &left, const attempt &right)
{
    const auto isWhole = [&](const attempt &each) {
        return each.state == exchange_state::Complete && !isMarkedNotExecuted(context, each.exchange->head()) && isSealed(context, each.exchange->head());
    };
    return isWhole(left) && right.state != exchange_state::Cancelled && !isWhole(right);
}

}

// Each iteration chooses an endpoint, sends the request and classifies the result. A call that may have run is sent again only when its route is
// repeatable; a call that certainly did not run may go to another endpoint. Both are limited by the route's maximum of attempts and by the retry
// budget.
task<caller_outcome> forwardService(edge_context &context, caller_request &request)
{
    caller_outcome outcome;
    const serving_route &route = *request.route;
    std::set<std::string> failedEndpoints;
    int unreachable = 0;
    bool mayHaveRun = false;
    bool retryAcquired = false; // For an attempt that has not been sent yet.
    attempt last;
    double retryAfterMs = 250;
    http::status failure = http::status::service_unavailable;
    std::string_view code = "no_endpoint";
    // The attempt of a pair that does not decide. If it was cancelled, it says nothing about its endpoint.
    const auto noteOther = [&](const attempt &other, const endpoint_ptr &endpoint) {
        const bool answered = other.state == exchange_state::Complete;
        const bool notRun = answered && isMarkedNotExecuted(context, other.exchange->head());
        if (other.state != exchange_state::Cancelled) {
            const int status = answered ? other.exchange->head().result_int() : 0;
            context.endpoints.noteResult(*endpoint, classifyResult(other.state, status, notRun), bootNow());
        }
        failedEndpoints.insert(endpoint->entry.id);
        if (other.state == exchange_state::NotSent) {
            ++unreachable;
            return;
        }
        ++outcome.attempts;
        if (!notRun && (other.state != exchange_state::Cancelled || other.exchange->requestSent())) {
            mayHaveRun = true;
            failure = other.state == exchange_state::TimedOut ? http::status::gateway_timeout : http::status::bad_gateway;
            context.usage.countRequest(request.organisation, context.correctedTimeMs());
        }
        if (other.state == exchange_state::Lost) {
            checkForCrash(context, *endpoint, request);
        }
    };
    while (outcome.attempts < route.maxAttempts && unreachable < maxUnreachableEndpoints && !request.reply->gone()) {
        const instant now = bootNow();
        const auto endpoints = context.endpoints.ofService(request.service);
        const auto input = makePlacementInput(context, request, endpoints, failedEndpoints);
        const auto placement = placeService(input);
        auto line = context.line("place_service");
        line.add("attempt", outcome.attempts + 1);
        logPlacement(line, input, placement);
        context.log.write(line);
        if (placement.verdict == placement_verdict::Refuse || now >= request.deadline) {
            code = placement.reason;
            retryAfterMs = placement.retryAfterMs;
            break;
        }
        if (outcome.attempts > 0 && crashesEndpoints(context, request)) {
            code = "crashes_endpoints";
            break;
        }
        retryAcquired = retryAcquired || outcome.attempts == 0 || context.retryBudget.tryAcquire(request.service, context.daemons(), now);
        if (!retryAcquired) {
            code = "retry_budget";
            break;
        }
        auto endpoint = endpoints[static_cast<std::size_t>(placement.endpoint)];
        std::optional<hedged_call> hedged; // Empty while hedging is off.
        if (context.settings.hedgeRatio > 0 && route.repeatable) {
            hedged.emplace(context, request, endpoint, outcome.attempts, failedEndpoints, [&](const auto &candidates, const auto &failed) {
                return makePlacementInput(context, request, candidates, failed);
            });
        }
        const bool lastTry = outcome.attempts + 1 >= route.maxAttempts || !route.repeatable;
        bool nextAcquired = false;
        attempt_limit limit{.time = std::chrono::duration_cast<duration>(route.target * attemptTimeoutFactor)};
        if (!lastTry) {
            limit.mayGoElsewhere = [&] {
                if (hedged && !hedged->mayGoElsewhere(limit.time)) {
                    return false;
                }
                auto failed = failedEndpoints;
                failed.insert(endpoint->entry.id);
                if (const auto second = hedged ? hedged->second() : nullptr) {
                    failed.insert(second->endpoint->entry.id);
                }
                const auto others = context.endpoints.ofService(request.service);
                const auto next = placeService(makePlacementInput(context, request, others, failed));
                nextAcquired = next.verdict != placement_verdict::Refuse && !crashesEndpoints(context, request)
                    && context.retryBudget.tryAcquire(request.service, context.daemons(), bootNow());
                if (nextAcquired && hedged) {
                    hedged->giveUp();
                }
                return nextAcquired;
            };
        }
        request.trialSent = request.isTrial;
        auto result = co_await send(context, request, endpoint, limit, placement.predictedMs, hedged ? &*hedged : nullptr);
        if (result.placeAgain) {
            ++unreachable;
            code = "endpoint_limited";
            continue;
        }
        last = std::move(result);
        if (const auto second = hedged ? hedged->second() : nullptr) {
            attempt other{.state = second->state, .exchange = second->exchange, .body = std::move(second->body)};
            auto otherEndpoint = second->endpoint;
            if (hedged->secondWon() || isBetterFailure(context, other, last)) {
                std::swap(last, other);
                std::swap(endpoint, otherEndpoint);
            }
            if (last.state != exchange_state::Cancelled) {
                noteOther(other, otherEndpoint);
            }
        }
        const bool answered = last.state == exchange_state::Complete;
        const int status = answered ? last.exchange->head().result_int() : 0;
        const bool notRun = answered && isMarkedNotExecuted(context, last.exchange->head());
        outcome.endpoint = endpoint->entry.id;
        if (last.state == exchange_state::Cancelled) {
            break;
        }
        context.endpoints.noteResult(*endpoint, classifyResult(last.state, status, notRun), bootNow());
        failedEndpoints.insert(endpoint->entry.id);
        if (last.state == exchange_state::NotSent) {
            ++unreachable;
            continue;
        }
        ++outcome.attempts;
        retryAcquired = nextAcquired;
        if (notRun) {
            code = "endpoint_full";
            continue;
        }
        mayHaveRun = true;
        context.usage.countRequest(request.organisation, context.correctedTimeMs());
        if (answered && status < 500 && isSealed(context, last.exchange->head())) {
            break;
        }
        if (last.state == exchange_state::Lost) {
            checkForCrash(context, *endpoint, request);
        }
        failure = last.state == exchange_state::TimedOut ? http::status::gateway_timeout : http::status::bad_gateway;
        code = toText(last.state);
        if (!route.repeatable) {
            break;
        }
    }
    // Pass a complete answer of an endpoint on unchanged, even an error: no further attempt can give a better one.
    const bool answeredWhole = last.state == exchange_state::Complete && !isMarkedNotExecuted(context, last.exchange->head());
    if (answeredWhole && isSealed(context, last.exchange->head())) {
        const auto &head = last.exchange->head();
        // A status that implies "not run" must not reach the caller of a call that may have run, unless the call may be repeated.
        if (!impliesNotExecuted(head.result_int()) || route.repeatable) {
            outcome.status = head.result_int();
            outcome.reason = "answered";
            outcome.firstByteMs = toMs(bootNow() - request.arrivedAt);
            if (outcome.status < 500) {
                recordSuccess(context, request);
                auto &mean = context.workMs.try_emplace(route.name, outcome.firstByteMs).first->second;
                mean += workSmoothing * (outcome.firstByteMs - mean);
            }
            http_response answer;
            answer.base() = makeAnswerHead(head);
            answer.body() = std::move(last.body);
            co_await request.reply->send(std::move(answer));
            co_return outcome;
        }
        failure = http::status::bad_gateway;
        code = "unproved_refusal";
    }
    outcome.reason = request.reply->gone() ? "caller_gone" : code;
    if (!mayHaveRun) {
        failure = http::status::service_unavailable;
    }
    outcome.status = static_cast<int>(failure);
    if (mayHaveRun) {
        co_await request.reply->send(makeErrorResponse(context, failure, code, "the call may have run"));
    } else {
        co_await request.reply->send(makeErrorResponse(context, failure, code, "the call has not run and will not", retryAfterMs));
    }
    co_return outcome;
}

admission_outlook predictService(edge_context &context, const caller_request &request)
{
    const auto input = makePlacementInput(context, request, context.endpoints.ofService(request.service), {});
    const auto placement = placeService(input);
    admission_outlook out;
    for (const auto &endpoint : input.endpoints) {
        if (!endpoint.excluded) {
            out.available = true;
            out.slots += endpoint.slots;
            out.freePercent += std::max(0, endpoint.slots - endpoint.running);
        }
    }
    out.freePercent *= out.slots > 0 ? 100 / out.slots : 0;
    out.workMs = input.workMs;
    if (placement.endpoint < 0) {
        out.queueMs = placement.retryAfterMs;
        return out;
    }
    out.queueMs = std::max(0.0, placement.predictedMs - input.workMs);
    out.onTime = placement.verdict != placement_verdict::Refuse && placement.predictedMs <= input.onTimeMs;
    out.runsLate = placement.verdict != placement_verdict::Refuse && out.queueMs <= maxLateQueueMs;
    return out;
}

}
