#include "coordination/admission.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace lacewinglock
{

namespace
{

admit_result refuse(std::string reason, double retryAfterMs)
{
    return {.verdict = admit_verdict::Refuse, .reason = std::move(reason), .retryAfterMs = std::max(tunables::minRetryAfterMs, retryAfterMs)};
}

admit_result wait(std::string reason)
{
    return {.verdict = admit_verdict::Wait, .reason = std::move(reason), .retryAfterMs = tunables::waitRetryAfterMs};
}

admit_result admit(std::string reason)
{
    return {.verdict = admit_verdict::Admit, .reason = std::move(reason)};
}

std::optional<admit_result> checkConcurrency(const admit_input &input)
{
    if (input.limits.concurrentRequests > 0 && input.organisationInFlight >= input.limits.concurrentRequests) {
        return refuse("concurrency limit of the organisation", tunables::waitRetryAfterMs);
    }
    if (input.keyLimit > 0 && input.keyInFlight >= input.keyLimit) {
        return refuse("concurrency limit of the key", tunables::waitRetryAfterMs);
    }
    return std::nullopt;
}

/// A request larger than the whole bucket passes when the bucket is full; it could never run otherwise.
std::optional<admit_result> checkBucket(const admit_input &input, double cost)
{
    if (input.limits.tokensPerSecond <= 0) {
        return std::nullopt;
    }
    const double needed = input.limits.burstTokens > 0 ? std::min(cost, input.limits.burstTokens) : cost;
    if (input.bucketTokens >= needed) {
        return std::nullopt;
    }
    return refuse("token limit of the organisation", (needed - input.bucketTokens) / input.limits.tokensPerSecond * 1000.0);
}

std::optional<admit_result> checkDeadline(const admit_input &input)
{
    if (input.predictedFirstTokenMs <= input.remainingMs) {
        return std::nullopt;
    }
    return refuse("the first token would come after the deadline", input.predictedFirstTokenMs - input.remainingMs);
}

struct share_visitor
{
    const admit_input &input;
    double cost = 0;

    admit_result operator()(const fair_share_admission &) const
    {
        const double weights = std::max(input.activeWeight, input.weight);
        const double share = weights > 0 ? input.groupTokenShare * input.weight / weights : 0;
        const double used = input.groupTokensInFlight + cost;
        // An organisation with nothing in flight may always start one request, however large, once there is room at all.
        const bool withinShare = input.organisationTokensInFlight + cost <= share || input.organisationTokensInFlight <= 0;
        if (withinShare) {
            const bool room = used <= input.groupTokenShare || input.groupTokensInFlight <= 0;
            return room ? admit("within the organisation's share") : wait("no capacity left");
        }
        if (input.waitingBelowShare > 0) {
            return wait("organisations below their share go first");
        }
        const bool room = used <= input.groupTokenShare * (1 - tunables::lendingReserve);
        return room ? admit("borrows unused share") : wait("above the organisation's share");
    }

    admit_result operator()(const first_come_admission &) const
    {
        const bool room = input.groupTokensInFlight + cost <= input.groupTokenShare || input.groupTokensInFlight <= 0;
        return room ? admit("capacity left") : wait("no capacity left");
    }
};

/// Repeatedly takes the request whose organisation would have the least work per weight after it.
order_result fairOrder(const order_input &input)
{
    std::map<std::string, double> finish;
    for (const auto &item : input.served) {
        finish[item.organisation] = item.servedPerWeight;
    }
    std::vector<waiting_request> left = input.waiting;
    std::ranges::sort(left, {}, &waiting_request::arrival);
    order_result result;
    while (!left.empty()) {
        const auto key = [&](const waiting_request &item) {
            return finish[item.organisation] + item.costTokens / std::max(0.001, item.weight);
        };
        // Only the first request of each organisation competes, so that an organisation's own requests keep their order.
        std::map<std::string, std::size_t> heads;
        for (std::size_t index = 0; index < left.size(); ++index) {
            heads.emplace(left[index].organisation, index);
        }
        const auto best = std::ranges::min_element(heads, [&](const auto &one, const auto &other) {
            const auto &first = left[one.second];
            const auto &second = left[other.second];
            return std::tuple(key(first), first.arrival) < std::tuple(key(second), second.arrival);
        });
        const std::size_t index = best->second;
        finish[left[index].organisation] = key(left[index]);
        result.requests.push_back(left[index].id);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return result;
}

order_result arrivalOrder(const order_input &input)
{
    std::vector<waiting_request> sorted = input.waiting;
    std::ranges::sort(sorted, {}, &waiting_request::arrival);
    order_result result;
    for (auto &item : sorted) {
        result.requests.push_back(std::move(item.id));
    }
    return result;
}

}

double requestCost(double promptTokens, double outputTokens)
{
    return promptTokens * tunables::promptTokenWeight + outputTokens * tunables::outputTokenWeight;
}

admit_result decideAdmission(const admit_input &input)
{
    const double cost = requestCost(input.promptTokens, input.maxOutputTokens);
    if (auto refusal = checkConcurrency(input)) {
        return *refusal;
    }
    if (auto refusal = checkBucket(input, cost)) {
        return *refusal;
    }
    if (auto refusal = checkDeadline(input)) {
        return *refusal;
    }
    return std::visit(share_visitor{input, cost}, input.policy);
}

order_result orderWaiting(const order_input &input)
{
    return std::holds_alternative<first_come_admission>(input.policy) ? arrivalOrder(input) : fairOrder(input);
}

}
