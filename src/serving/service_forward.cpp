#include "serving/caller_exchange.h"

#include "serving/placement_log.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr double firstWorkMs = 50; // Until the route's own calls were measured.
constexpr double workWeight = 0.05; // Twenty calls move the mean.
constexpr std::size_t maxAnswerBytes = 64U << 20U; // A larger answer would take a quarter of a small machine's memory.
constexpr int maxUnreachable = 4; // Endpoints without a connection that one request tries.
constexpr double repeatAfterTargets = 1.25; // A repeatable call without an answer for so many wanted times is tried elsewhere.

/// One sending and what came of it.
struct attempt
{
    exchange_state state = exchange_state::NotSent;
    std::shared_ptr<client_exchange> exchange;
    std::string body;
};

service_input makeInput(edge_context &context, const caller_request &request, const std::vector<endpoint_ptr> &endpoints, const std::set<std::string> &failed)
{
    const instant now = bootNow();
    const auto work = context.workMs.find(request.route->name);
    service_input input{
        .requestId = request.id,
        .configVersion = request.configuration->version,
        .workMs = toTenth(work == context.workMs.end() ? firstWorkMs : work->second),
        .remainingMs = toTenth(toMs(request.deadline - now)),
        .peerAgeMs = toTenth(context.peerAgeMs()),
        .roll = toTenth(context.roll()),
    };
    for (const auto &endpoint : endpoints) {
        input.endpoints.push_back({
            .id = endpoint->entry.id,
            .local = endpoint->entry.failureDomain == context.settings.failureDomain,
            .excluded = !endpoint->usable(now) || failed.contains(endpoint->entry.id),
            .running = endpoint->own.running + endpoint->peers.running,
            .slots = std::max(1, endpoint->entry.slots),
            .failureShare = request.route->repeatable ? 0 : toHundredth(endpoint->failureShare),
            .overdueMs = endpoint->overdueMs(now),
        });
    }
    return input;
}

task<attempt> send(edge_context &context, const caller_request &request, const endpoint_ptr &endpoint, instant deadline, double predictedMs)
{
    attempt out;
    const auto address = parseAddress(endpoint->entry.address);
    if (!address.ok()) {
        co_return out;
    }
    const instant now = bootNow();
    const load_claim claim(endpoint, 0);
    const due_answer due(endpoint, now + std::chrono::milliseconds(std::lround(3 * predictedMs)));
    out.exchange = std::make_shared<client_exchange>(context.pool, *address, forwardOptions(context, request, deadline));
    request.reply->onGone([exchange = out.exchange] {
        exchange->cancel();
    });
    out.state = co_await out.exchange->begin(makeForwarded(context, request, endpoint->entry, now));
    if (out.state == exchange_state::Going) {
        out.state = co_await out.exchange->readAll(out.body, maxAnswerBytes);
    }
    request.reply->onGone(nullptr);
    co_return out;
}

attempt_result judge(exchange_state state, int status, bool notRun)
{
    switch (state) {
    case exchange_state::NotSent:
        return attempt_result::Unreachable;
    case exchange_state::Lost:
        return attempt_result::Broken;
    case exchange_state::TimedOut:
        return attempt_result::Silent;
    case exchange_state::Malformed:
        return attempt_result::Failed;
    default:
        return notRun ? attempt_result::Rejected : status >= 500 ? attempt_result::Failed : attempt_result::Good;
    }
}

}

// Each round: choose an endpoint, send, judge. A call that may have run is sent again only when its route allows repetition; one that
// certainly did not run may go to another endpoint. Both draw on the attempts of the route and on the budget of extra sendings.
task<caller_outcome> forwardService(edge_context &context, caller_request &request)
{
    caller_outcome outcome;
    const serving_route &route = *request.route;
    std::set<std::string> failed;
    int unreachable = 0;
    bool mayHaveRun = false;
    attempt last;
    double retryAfterMs = 250;
    http::status failure = http::status::service_unavailable;
    std::string_view code = "no_endpoint";
    while (outcome.attempts < route.maxAttempts && unreachable < maxUnreachable && !request.reply->gone()) {
        const instant now = bootNow();
        const auto endpoints = context.endpoints.ofService(request.service);
        const auto input = makeInput(context, request, endpoints, failed);
        const auto placed = placeService(input);
        auto line = context.line("place_service");
        line.add("attempt", outcome.attempts + 1);
        logPlacement(line, input, placed);
        context.log.write(line);
        if (placed.verdict == placement_verdict::Refuse || now >= request.deadline) {
            code = placed.reason;
            retryAfterMs = placed.retryAfterMs;
            break;
        }
        if (outcome.attempts > 0 && !context.budget.tryExtra(request.service, context.daemons(), now)) {
            code = "retry_budget";
            break;
        }
        const auto &endpoint = endpoints[static_cast<std::size_t>(placed.endpoint)];
        const bool lastTry = outcome.attempts + 1 >= route.maxAttempts || !route.repeatable;
        const auto patience = std::chrono::duration_cast<duration>(route.target * repeatAfterTargets);
        const instant deadline = lastTry ? request.deadline : std::min(request.deadline, now + patience);
        last = co_await send(context, request, endpoint, deadline, placed.predictedMs);
        const bool answered = last.state == exchange_state::Whole;
        const int status = answered ? last.exchange->head().result_int() : 0;
        const bool notRun = answered && saysNotRun(context, last.exchange->head());
        outcome.endpoint = endpoint->entry.id;
        if (last.state == exchange_state::Cancelled) {
            break;
        }
        context.endpoints.noteResult(*endpoint, judge(last.state, status, notRun), bootNow());
        failed.insert(endpoint->entry.id);
        if (last.state == exchange_state::NotSent) {
            ++unreachable;
            continue;
        }
        ++outcome.attempts;
        if (notRun) {
            code = "endpoint_full";
            continue;
        }
        mayHaveRun = true;
        context.usage.note(request.organisation, context.trueTimeMs());
        if (answered && status < 500 && isSealed(context, last.exchange->head())) {
            break;
        }
        if (last.state == exchange_state::Lost) {
            noteLostConnection(context, *endpoint, request.fingerprint);
        }
        failure = last.state == exchange_state::TimedOut ? http::status::gateway_timeout : http::status::bad_gateway;
        code = toText(last.state);
        if (!route.repeatable) {
            break;
        }
    }
    // A whole answer of an endpoint goes to the caller as it is, a failure too: no better one can be had any more.
    const bool whole = last.state == exchange_state::Whole && !saysNotRun(context, last.exchange->head());
    if (whole && isSealed(context, last.exchange->head())) {
        const auto &head = last.exchange->head();
        // These would tell the caller that the call did not run.
        if (!promisesNotRun(head.result_int()) || route.repeatable) {
            outcome.status = head.result_int();
            outcome.reason = "answered";
            outcome.firstByteMs = toMs(bootNow() - request.arrivedAt);
            if (outcome.status < 500) {
                context.suspects.noteSuccess(request.fingerprint, bootNow());
                auto &mean = context.workMs.try_emplace(route.name, outcome.firstByteMs).first->second;
                mean += workWeight * (outcome.firstByteMs - mean);
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
        co_await request.reply->send(makeRefusal(context, failure, code, "the call may have run"));
    } else {
        co_await request.reply->send(makeRefusal(context, failure, code, "the call has not run and will not", retryAfterMs));
    }
    co_return outcome;
}

}
