#include "coordination/admission.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

// Shortest pause proposed to a refused caller, so that refusals do not turn into a retry storm.
constexpr double minRetryAfterMs = 100;

admit_result refusal(std::string reason, double retryAfterMs)
{
    return {.verdict = admit_verdict::Refuse, .reason = std::move(reason), .retryAfterMs = std::max(minRetryAfterMs, retryAfterMs)};
}

}

admit_result decideAdmission(const admit_input &input)
{
    const double tokens = input.promptTokens + input.maxOutputTokens;
    if (input.remainingMs <= 0) {
        return refusal("deadline passed", 0);
    }
    if (input.predictedFirstTokenMs > input.remainingMs) {
        return refusal("predicted first token is after the deadline", input.predictedFirstTokenMs - input.remainingMs);
    }
    if (input.limits.burstTokens > 0 && tokens > input.limits.burstTokens) {
        return refusal("request is larger than the organisation's burst", 0);
    }
    if (input.limits.concurrentRequests > 0 && input.organisationInFlight >= input.limits.concurrentRequests) {
        return {.verdict = admit_verdict::Wait, .reason = "organisation's concurrency limit"};
    }
    if (input.keyLimit > 0 && input.keyInFlight >= input.keyLimit) {
        return {.verdict = admit_verdict::Wait, .reason = "key's concurrency limit"};
    }
    if (input.limits.tokensPerSecond > 0 && input.bucketTokens < tokens) {
        const double waitMs = (tokens - input.bucketTokens) / input.limits.tokensPerSecond * 1000;
        if (waitMs > input.remainingMs) {
            return refusal("organisation's token limit", waitMs);
        }
        return {.verdict = admit_verdict::Wait, .reason = "organisation's token limit"};
    }
    if (input.groupTokenShare > 0 && input.groupTokensInFlight > 0 && input.groupTokensInFlight + tokens > input.groupTokenShare) {
        return {.verdict = admit_verdict::Wait, .reason = "group's capacity share is in use"};
    }
    return {.verdict = admit_verdict::Admit, .reason = "within limits"};
}

}
