#include "serving/quota_check.h"

#include "transport/boot_clock.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr duration retryInterval = std::chrono::milliseconds(50); // Between two decisions on a request that waits. Sums arrive about as often.
constexpr duration maxWait = std::chrono::milliseconds(300); // The usual time until the others have heard of an admission.
constexpr double maxWaitPerTarget = 1.0 / 3; // The rest of the target is left for serving the request.

double costOf(const edge_context &context, const caller_request &request)
{
    if (request.quota->unit == quota_unit::Requests) {
        return 1;
    }
    return context.platform.wire.parseTokenCount(request.received->message).value_or(request.quota->uncountedCost);
}

instant waitsUntil(const caller_request &request)
{
    const auto ofTarget = std::chrono::duration_cast<duration>(request.route->target * maxWaitPerTarget);
    return std::min(request.arrivedAt + std::min(maxWait, ofTarget), request.deadline);
}

bool hasRun(const caller_outcome &outcome)
{
    // The attempt that a caller has left is not counted, but its endpoint may have begun to run it.
    if (outcome.reason == "caller_gone" && !outcome.endpoint.empty()) {
        return true;
    }
    // An own refusal proves that no endpoint ran the request; the same status may also be the answer of an endpoint that did.
    return outcome.attempts > 0 && (!impliesNotExecuted(outcome.status) || outcome.reason == "answered");
}

}

void refreshQuotas(edge_context &context)
{
    if (context.quotas.size() > 0) {
        context.quotas.refresh(context.sums, context.quotaFleet(), bootNow());
    }
}

task<bool> acquireQuota(edge_context &context, caller_request &request, caller_outcome &outcome)
{
    request.quotaCost = costOf(context, request);
    const instant end = waitsUntil(request);
    while (true) {
        const instant now = bootNow();
        const auto decision = context.quotas.admit(request.organisation, *request.quota, request.quotaCost, context.quotaFleet(), context.sums, now);
        if (decision.admitted) {
            co_return true;
        }
        // A newer configuration may have another limit, which an old one must not replace.
        const bool mayWait = decision.mayWait && now + retryInterval <= end && !context.stopping && request.configuration == context.configuration;
        if (mayWait && context.quotas.beginWait()) {
            co_await sleepFor(retryInterval);
            context.quotas.endWait();
            if (request.reply->gone()) {
                outcome.reason = "caller_gone";
                co_return false;
            }
            if (request.configuration == context.configuration) {
                continue;
            }
        }
        outcome = {.status = static_cast<int>(http::status::too_many_requests), .reason = "quota"};
        context.counters.count(metric_counter::QuotaRefusals);
        if (context.quotas.noteRefusal(request.organisation, request.quotaCost, decision.retryAfterMs, now)) {
            const auto *account = context.quotas.find(request.organisation);
            auto line = context.line("quota_refused");
            line.add("id", request.id).add("org", request.organisation).add("cost", request.quotaCost).add("demand_per_s", account->demand());
            line.add("rate_per_s", request.quota->ratePerSecond).add("share", account->share()).add("retry_ms", decision.retryAfterMs);
            context.log.write(line);
        }
        co_await request.reply->send(makeErrorResponse(
            context, http::status::too_many_requests, "quota", "the organisation has used its quota; the request has not run", decision.retryAfterMs));
        co_return false;
    }
}

void returnQuota(edge_context &context, const caller_request &request, const caller_outcome &outcome)
{
    if (request.quota != nullptr && !hasRun(outcome)) {
        context.quotas.giveBack(request.organisation, request.quotaCost, bootNow());
    }
}

}
