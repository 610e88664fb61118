#include "serving/caller_admission.h"

#include "serving/admission_log.h"
#include "serving/placement_log.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr double stoppingRetryAfterMs = 50; // Another daemon can take the request at once.

metered_request meteredRequest(const caller_request &request)
{
    const double tokens = request.prompt ? std::round(request.prompt->promptTokens + request.prompt->maxOutputTokens) : 0;
    return {.service = request.service, .priority = request.priority, .organisation = request.organisation, .size = std::max(1.0, tokens)};
}

admission_outlook predict(edge_context &context, caller_request &request)
{
    auto outlook = request.route->stream ? predictStream(context, request) : predictService(context, request);
    for (auto *number : {&outlook.queueMs, &outlook.workMs, &outlook.slots, &outlook.freePercent}) {
        *number = toTenth(*number);
    }
    return outlook;
}

admission_input makeInput(edge_context &context, caller_request &request, const metered_request &metered)
{
    const instant now = bootNow();
    auto load = context.admission.meter.loadFor(metered, context.sums, now);
    for (auto *number : {&load.demand, &load.unserved, &load.organisationDemand, &load.fairShare}) {
        *number = toTenth(*number);
    }
    double ownRunning = 0;
    for (const auto &endpoint : context.endpoints.ofService(request.service)) {
        ownRunning += endpoint->own.running;
    }
    return {
        .requestId = request.id,
        .service = request.service,
        .organisation = request.organisation,
        .priority = request.priority,
        .size = metered.size,
        .elapsedMs = toTenth(toMs(now - request.arrivedAt)),
        .targetMs = toTenth(toMs(request.route->target)),
        .remainingMs = toTenth(toMs(request.deadline - now)),
        .returning = context.admission.refused.hasReturned(request.fingerprint, now),
        .outlook = predict(context, request),
        .load = load,
        .credit = toTenth(context.admission.meter.creditOf(metered)),
        .ageMs = toTenth(context.exchange.ageMs(now)),
        .daemons = static_cast<double>(context.daemons()),
        .ownRunning = ownRunning,
        .returnsMs = toTenth(context.admission.meter.returnsMs(metered, now)),
        .queueHasRoom = context.admission.queue.hasRoom(request.received->message.body().size()),
        .jitter = toTenth(context.jitter()),
    };
}

admission_result decide(edge_context &context, caller_request &request, const metered_request &metered, bool waits)
{
    auto input = makeInput(context, request, metered);
    input.queueHasRoom = input.queueHasRoom || waits;
    const auto result = decideAdmission(input);
    // A request that goes on waiting has a line for its first decision and one for its last.
    if (!waits || result.verdict != admission_verdict::Wait) {
        auto line = context.line(admissionEvent);
        logAdmission(line, input, result);
        context.log.write(line);
    }
    return result;
}

// Returns the last decision. A caller that has gone gets a decision to run, which ends without an endpoint.
task<admission_result> waitForAdmission(edge_context &context, caller_request &request, const metered_request &metered)
{
    const bool beyondShare = context.admission.meter.creditOf(metered) <= 0;
    const admission_rank rank{.priority = request.priority, .beyondShare = beyondShare, .deadline = request.deadline};
    queue_place place(context.admission.queue, context.loop, rank, request.received->message.body().size());
    context.counters.count(metric_counter::AdmissionWaits);
    request.reply->onDisconnect([&place] {
        place.wake();
    });
    admission_result result{.verdict = admission_verdict::Wait};
    while (result.verdict == admission_verdict::Wait) {
        co_await place.nextTurn();
        if (request.reply->gone()) {
            result = {.reason = "caller_gone"};
        } else if (context.stopping) {
            result = {.verdict = admission_verdict::Refuse, .retryAfterMs = stoppingRetryAfterMs, .reason = "stopping"};
        } else {
            result = decide(context, request, metered, true);
        }
        if (result.verdict == admission_verdict::Wait) {
            place.passOn();
        }
    }
    request.reply->onDisconnect(nullptr);
    co_return result;
}

}

task<std::optional<admission_refusal>> admitCaller(edge_context &context, caller_request &request)
{
    if (!context.settings.fairAdmission) {
        co_return std::nullopt;
    }
    const auto metered = meteredRequest(request);
    context.admission.meter.noteArrival(metered, request.arrivedAt);
    auto result = decide(context, request, metered, false);
    if (result.verdict == admission_verdict::Wait) {
        result = co_await waitForAdmission(context, request, metered);
    }
    const instant now = bootNow();
    if (result.verdict == admission_verdict::Run) {
        context.admission.meter.noteRun(metered, now);
        co_return std::nullopt;
    }
    context.admission.meter.noteRefusal(metered, now);
    context.admission.refused.note(request.fingerprint, now + fromMs(result.retryAfterMs), now);
    context.counters.count(metric_counter::AdmissionRefusals);
    co_return admission_refusal{.reason = result.reason, .retryAfterMs = result.retryAfterMs};
}

void noteAdmittedEnd(edge_context &context, const caller_request &request, const caller_outcome &outcome)
{
    const bool refused = outcome.status == static_cast<int>(http::status::service_unavailable) && outcome.reason != "caller_gone";
    if (context.settings.fairAdmission && refused) {
        context.admission.meter.noteUnserved(meteredRequest(request), bootNow());
    }
}

}
