#include "coordination/admission.h"

#include "coordination/endpoint_cost.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <deque>
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

/// A request larger than the bucket passes when the bucket is full; otherwise it could never run.
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

struct admission_policy_visitor
{
    const admit_input &input;
    double cost = 0;

    admit_result operator()(const fair_share_admission &) const
    {
        const double weights = std::max(input.activeWeight, input.weight);
        const double share = weights > 0 ? input.groupTokenShare * input.weight / weights : 0;
        const double tokensAfter = input.groupTokensInFlight + cost;
        // An organisation with nothing in flight may always start one request of any size if the group has capacity left.
        const bool withinShare = input.organisationTokensInFlight + cost <= share || input.organisationTokensInFlight <= 0;
        if (withinShare) {
            const bool hasCapacity = tokensAfter <= input.groupTokenShare || input.groupTokensInFlight <= 0;
            return hasCapacity ? admit("within the organisation's share") : wait("no capacity left");
        }
        if (input.predictedQueueMs > tunables::overShareQueueLimitMs) {
            return wait("above the organisation's share, and the engines are busy");
        }
        if (input.waitingBelowShare > 0) {
            return wait("organisations below their share go first");
        }
        const bool hasCapacity = tokensAfter <= input.groupTokenShare * (1 - tunables::reservedShareFraction);
        return hasCapacity ? admit("borrows unused share") : wait("above the organisation's share");
    }

    admit_result operator()(const first_come_admission &) const
    {
        const bool hasCapacity = input.groupTokensInFlight + cost <= input.groupTokenShare || input.groupTokensInFlight <= 0;
        return hasCapacity ? admit("capacity left") : wait("no capacity left");
    }
};

using request_queues = std::map<std::string, std::deque<const waiting_request *>>;

/// Groups the late or the on-time requests by organisation. Each queue keeps the order of arrival.
request_queues queuesByOrganisation(const std::vector<const waiting_request *> &sorted, bool late)
{
    request_queues queues;
    for (const auto *item : sorted) {
        if (item->late == late) {
            queues[item->organisation].push_back(item);
        }
    }
    return queues;
}

/// Repeatedly appends the request whose organisation would have the least service per weight after it, until `limit` is reached. Only the
/// first request of each organisation competes, so that requests of one organisation keep their order. `finish` holds the service by
/// organisation.
void appendInFairOrder(request_queues queues, std::map<std::string, double> &finish, std::uint64_t limit, queue_order_result &result)
{
    while (!queues.empty() && (limit == 0 || result.requests.size() < limit)) {
        const auto key = [&](const auto &queue) {
            const auto *head = queue.second.front();
            return std::tuple(finish[queue.first] + head->costTokens / std::max(0.001, head->weight), head->arrival);
        };
        const auto best = std::ranges::min_element(queues, {}, key);
        finish[best->first] = std::get<0>(key(*best));
        result.requests.push_back(best->second.front()->id);
        best->second.pop_front();
        if (best->second.empty()) {
            queues.erase(best);
        }
    }
}

std::vector<const waiting_request *> sortedByArrival(const queue_order_input &input)
{
    std::vector<const waiting_request *> sorted;
    for (const auto &item : input.waiting) {
        sorted.push_back(&item);
    }
    std::ranges::sort(sorted, {}, &waiting_request::arrival);
    return sorted;
}

}

double groupCapacityTokens(const std::vector<endpoint_view> &endpoints, double meanRequestCost)
{
    double streams = 0;
    for (const auto &view : endpoints) {
        if (view.reachable && !view.leaving && !view.changingRole && view.role != endpoint_role::Prefill) {
            const double prefillChunkMs = tunables::mixedPrefillChunkTokens / std::max(1.0, view.prefillTokensPerSecond) * 1000.0;
            streams += streamCapacity(view, view.role == endpoint_role::Mixed ? prefillChunkMs : 0.0);
        }
    }
    return streams * tunables::plannedCapacityFraction * meanRequestCost;
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
    if (input.predictedQueueMs > (input.late ? tunables::lateQueueLimitMs : tunables::engineQueueLimitMs)) {
        return wait("the engines have full queues");
    }
    return std::visit(admission_policy_visitor{input, cost}, input.policy);
}

queue_order_result orderWaiting(const queue_order_input &input)
{
    const auto sorted = sortedByArrival(input);
    queue_order_result result;
    if (std::holds_alternative<first_come_admission>(input.policy)) {
        for (const bool late : {false, true}) {
            for (const auto *item : sorted) {
                if (item->late == late && (input.limit == 0 || result.requests.size() < input.limit)) {
                    result.requests.push_back(item->id);
                }
            }
        }
        return result;
    }
    std::map<std::string, double> finish;
    for (const auto &item : input.served) {
        finish[item.organisation] = item.servedPerWeight;
    }
    appendInFairOrder(queuesByOrganisation(sorted, false), finish, input.limit, result);
    appendInFairOrder(queuesByOrganisation(sorted, true), finish, input.limit, result);
    return result;
}

}
