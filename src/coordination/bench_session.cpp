#include "coordination/admission.h"
#include "coordination/bench_state.h"
#include "coordination/routing.h"
#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double deadlineMs = 10000;
constexpr std::uint64_t maxCandidatesPerPass = 16;
constexpr int maxWaitsPerPass = 4; // Requests that have to wait before a pass ends. After the first one, others may still fit.

double requestCostOf(const bench_request &request)
{
    return requestCost(request.promptTokens, request.outputTokens);
}

}

void bench_state::handleArrival(int request)
{
    const auto &item = m_requests[static_cast<std::size_t>(request)];
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    progress.daemon = m_random.below(benchDaemons);
    progress.cost = requestCostOf(item);
    progress.job = {.request = request,
                    .promptTokens = item.promptTokens,
                    .prefixTokens = item.prefixTokens,
                    .prefix = item.prefix,
                    .outputTokens = item.outputTokens,
                    .poison = item.poison};
    recordDemand(item);
    // A confirmed poison prompt, or a non-repeatable request whose claim the store can't confirm, is refused before dispatch.
    if ((item.poison && m_poisonConfirmed) || (!item.repeatable && !storeAvailable())) {
        refuseRequest(request);
        return;
    }
    auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
    daemon.meanCost += (progress.cost - daemon.meanCost) * 0.01;
    // An organisation without requests in flight here starts at the lowest service level of the active ones, so that idle time earns no credit.
    if (daemon.organisationTokens[item.organisation] <= 0) {
        double least = -1;
        for (const auto &[organisation, tokens] : daemon.organisationTokens) {
            if (tokens > 0) {
                least = least < 0 ? daemon.served[organisation] : std::min(least, daemon.served[organisation]);
            }
        }
        daemon.served[item.organisation] = std::max(daemon.served[item.organisation], least);
    }
    daemon.waiting.push_back(request);
    if (daemon.waiting.size() == 1) {
        processQueues(progress.daemon);
    }
}

void bench_state::processQueues(int daemon)
{
    auto &resumes = m_resumes[static_cast<std::size_t>(daemon)];
    std::erase_if(resumes, [&](int request) {
        return tryResume(request);
    });
    if (!m_daemons[static_cast<std::size_t>(daemon)].waiting.empty()) {
        admitWaiting(daemon);
    }
}

/// Tries the waiting requests in queue order until `maxWaitsPerPass` of them have to wait.
void bench_state::admitWaiting(int daemon)
{
    auto &state = m_daemons[static_cast<std::size_t>(daemon)];
    std::erase_if(state.waiting, [&](int request) {
        const bool expired = m_now > m_requests[static_cast<std::size_t>(request)].arrivalMs + deadlineMs;
        if (expired) {
            refuseRequest(request);
        }
        return expired;
    });
    queue_order_input order{.limit = maxCandidatesPerPass, .policy = m_variant.admission};
    for (const int request : state.waiting) {
        const auto &item = m_requests[static_cast<std::size_t>(request)];
        order.waiting.push_back({.id = std::to_string(request),
                                 .organisation = std::to_string(item.organisation),
                                 .weight = benchWeight(m_workload, item.organisation),
                                 .costTokens = m_progress[static_cast<std::size_t>(request)].cost,
                                 .arrival = static_cast<std::uint64_t>(request),
                                 .late = m_now - item.arrivalMs > toMs(tunables::firstTokenTarget)});
    }
    for (const auto &[organisation, served] : state.served) {
        order.served.push_back({.organisation = std::to_string(organisation), .servedPerWeight = served});
    }
    int waits = 0;
    for (const auto &id : orderWaiting(order).requests) {
        const int request = std::stoi(id);
        if (tryAdmit(request) == admit_verdict::Wait) {
            if (++waits >= maxWaitsPerPass) {
                break;
            }
        } else {
            std::erase(state.waiting, request);
        }
    }
}

route_input bench_state::routeInput(int request, const bench_daemon &daemon)
{
    const auto &item = m_requests[static_cast<std::size_t>(request)];
    const auto &progress = m_progress[static_cast<std::size_t>(request)];
    route_input input{.requestId = std::to_string(request),
                      .group = "main",
                      .organisation = std::to_string(item.organisation),
                      .promptTokens = progress.job.promptTokens,
                      .maxOutputTokens = static_cast<double>(progress.job.outputTokens),
                      .remainingMs = item.arrivalMs + deadlineMs - m_now,
                      .repeatable = item.repeatable,
                      .suspect = progress.suspect,
                      .excluded = progress.excluded,
                      .seed = m_random.next(),
                      .endpoints = daemon.endpointViews(m_fleet.attributes, item, m_now),
                      .demandShare = 1.0 / benchDaemons,
                      .kvTransfer = true,
                      .policy = m_variant.routing};
    if (auto *robin = std::get_if<round_robin_routing>(&input.policy)) {
        robin->turn = m_turn++;
    }
    return input;
}

admit_input bench_state::admitInput(int request, const bench_daemon &daemon, const route_result &route, double capacity) const
{
    const auto &item = m_requests[static_cast<std::size_t>(request)];
    const auto &progress = m_progress[static_cast<std::size_t>(request)];
    admit_input input{.requestId = route.endpoint,
                      .organisation = std::to_string(item.organisation),
                      .weight = benchWeight(m_workload, item.organisation),
                      .promptTokens = item.promptTokens,
                      .maxOutputTokens = static_cast<double>(item.outputTokens),
                      .groupTokensInFlight = daemon.tokensInFlight,
                      .groupTokenShare = capacity / benchDaemons,
                      .waiting = static_cast<int>(daemon.waiting.size()),
                      .predictedFirstTokenMs = route.predictedFirstTokenMs,
                      .remainingMs = item.arrivalMs + deadlineMs - m_now,
                      .predictedQueueMs = route.predictedQueueMs,
                      .late = m_now + route.predictedFirstTokenMs - item.arrivalMs > toMs(tunables::firstTokenTarget),
                      .policy = m_variant.admission};
    const auto tokensOf = [&](int organisation) {
        const auto found = daemon.organisationTokens.find(organisation);
        return found == daemon.organisationTokens.end() ? 0.0 : found->second;
    };
    input.organisationTokensInFlight = tokensOf(item.organisation);
    std::map<int, int> waiting;
    for (const int other : daemon.waiting) {
        ++waiting[m_requests[static_cast<std::size_t>(other)].organisation];
    }
    for (int organisation = 0; organisation < benchOrganisations; ++organisation) {
        if (tokensOf(organisation) > 0 || waiting.contains(organisation)) {
            input.activeWeight += benchWeight(m_workload, organisation);
        }
    }
    for (const auto &[organisation, count] : waiting) {
        const double share = input.groupTokenShare * benchWeight(m_workload, organisation) / std::max(1.0, input.activeWeight);
        if (organisation != item.organisation && tokensOf(organisation) + progress.cost <= share) {
            input.waitingBelowShare += count;
        }
    }
    return input;
}

admit_verdict bench_state::tryAdmit(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
    const auto input = routeInput(request, daemon);
    const auto route = decideRoute(input);
    m_signature.add(route.endpoint);
    m_signature.add(route.prefillEndpoint);
    m_signature.add(route.predictedFirstTokenMs);
    if (route.endpoint.empty()) {
        if (input.remainingMs > 0) {
            return admit_verdict::Wait;
        }
        refuseRequest(request);
        return admit_verdict::Refuse;
    }
    const auto admission = decideAdmission(admitInput(request, daemon, route, groupCapacityTokens(input.endpoints, daemon.meanCost)));
    m_signature.add(admission.reason);
    m_signature.add(admission.retryAfterMs);
    if (admission.verdict == admit_verdict::Refuse) {
        refuseRequest(request);
    } else if (admission.verdict == admit_verdict::Admit) {
        const auto &item = m_requests[static_cast<std::size_t>(request)];
        daemon.served[item.organisation] += progress.cost / benchWeight(m_workload, item.organisation);
        daemon.organisationTokens[item.organisation] += progress.cost;
        daemon.tokensInFlight += progress.cost;
        send(request, route, input);
    }
    return admission.verdict;
}

/// Dispatches an interrupted request again, without a second admission. Returns true when it was dispatched or refused, false when it has to wait.
bool bench_state::tryResume(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    const auto input = routeInput(request, m_daemons[static_cast<std::size_t>(progress.daemon)]);
    const auto route = decideRoute(input);
    m_signature.add(route.endpoint);
    if (route.endpoint.empty()) {
        if (input.remainingMs > 0) {
            return false;
        }
        refuseRequest(request);
        return true;
    }
    send(request, route, input);
    return true;
}

void bench_state::send(int request, const route_result &route, const route_input &input)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
    const int target = m_fleet.find(route.endpoint);
    const int prefill = route.prefillEndpoint.empty() ? target : m_fleet.find(route.prefillEndpoint);
    const auto &view = *std::ranges::find(input.endpoints, m_fleet.attributes[static_cast<std::size_t>(prefill)].id, &endpoint_view::id);
    progress.engine = target;
    progress.prefillEngine = prefill;
    progress.expectedTokens = std::max(1.0, input.promptTokens - view.cachedPromptTokens);
    m_sentTokens = m_sentTokens * 0.995 + input.promptTokens;
    m_uncachedTokens = m_uncachedTokens * 0.995 + progress.expectedTokens;
    ++progress.attempts;
    ++progress.engineReceipts;
    daemon.recordSent(prefill, progress.expectedTokens, input.promptTokens);
    ++m_fleet.slots[static_cast<std::size_t>(prefill)].assignedRequests;
    if (target != prefill) {
        daemon.recordSent(target, 0, 0);
        ++m_fleet.slots[static_cast<std::size_t>(target)].assignedRequests;
    }
    if (progress.job.prefix >= 0) {
        daemon.setCached(prefill, progress.job.prefix, 0.9);
    }
    progress.job.uncachedTokens = -1;
    progress.job.decodeEngine = target != prefill ? target : -1;
    m_fleet.slots[static_cast<std::size_t>(prefill)].engine.enqueue(progress.job);
    startStep(prefill);
}

void bench_state::recordToken(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    if (progress.prefillEngine >= 0) {
        recordPrefillDone(request);
    }
    if (progress.firstTokenMs < 0) {
        progress.firstTokenMs = m_now;
    } else {
        ++progress.gaps;
        progress.slowGaps += m_now - progress.lastTokenMs > toMs(tunables::tokenGapTarget) ? 1 : 0;
    }
    progress.lastTokenMs = m_now;
}

/// Updates the daemon's counters when the prefill of an attempt ends.
void bench_state::recordPrefillDone(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
    const int prefill = progress.prefillEngine;
    progress.prefillEngine = -1;
    ++progress.executions;
    if (progress.job.prefix >= 0) {
        daemon.setCached(prefill, progress.job.prefix, 1);
    }
    daemon.recordFirstToken(prefill, progress.expectedTokens);
    if (prefill != progress.engine) {
        daemon.recordFinished(prefill);
        --m_fleet.slots[static_cast<std::size_t>(prefill)].assignedRequests;
        startRoleChangeIfDrained(prefill);
    }
}

/// Transfers a stream to its decode engine after the prefill. The attempt fails when that engine was lost in the meantime.
void bench_state::transferStream(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    if (progress.done || progress.engine < 0 || progress.prefillEngine >= 0) {
        return;
    }
    auto &slot = m_fleet.slots[static_cast<std::size_t>(progress.engine)];
    if (slot.removedMs >= 0 || !m_fleet.attributes[static_cast<std::size_t>(progress.engine)].reachable) {
        failAttempt(request, progress.job);
        return;
    }
    slot.engine.importStream(progress.job);
    startStep(progress.engine);
}

/// Removes a request from the counters of its engines.
void bench_state::releaseEngines(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
    if (progress.engine < 0) {
        return;
    }
    const int engine = progress.engine;
    const int prefill = progress.prefillEngine;
    progress.engine = -1;
    progress.prefillEngine = -1;
    if (prefill >= 0) {
        daemon.recordFirstToken(prefill, progress.expectedTokens);
        if (prefill != engine) {
            daemon.recordFinished(prefill);
            --m_fleet.slots[static_cast<std::size_t>(prefill)].assignedRequests;
            startRoleChangeIfDrained(prefill);
        }
    }
    daemon.recordFinished(engine);
    --m_fleet.slots[static_cast<std::size_t>(engine)].assignedRequests;
    startRoleChangeIfDrained(engine);
}

void bench_state::completeRequest(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
    const int organisation = m_requests[static_cast<std::size_t>(request)].organisation;
    progress.done = true;
    if (progress.engine >= 0 && m_fleet.attributes[static_cast<std::size_t>(progress.engine)].reclaimable) {
        progress.job.prefix = -2; // Marks a response from a reclaimable endpoint; score() reads it.
    }
    releaseEngines(request);
    daemon.organisationTokens[organisation] -= progress.cost;
    daemon.tokensInFlight -= progress.cost;
}

void bench_state::refuseRequest(int request)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    progress.refused = true;
    progress.reportedNotRun = progress.attempts == 0;
    if (progress.attempts > 0) {
        auto &daemon = m_daemons[static_cast<std::size_t>(progress.daemon)];
        daemon.organisationTokens[m_requests[static_cast<std::size_t>(request)].organisation] -= progress.cost;
        daemon.tokensInFlight -= progress.cost;
    }
}

/// Handles an interrupted attempt. A repeatable request resumes after the last delivered token; any other ends with the run state "unknown".
void bench_state::failAttempt(int request, const bench_job &job)
{
    auto &progress = m_progress[static_cast<std::size_t>(request)];
    if (progress.engine >= 0) {
        progress.excluded = {m_fleet.attributes[static_cast<std::size_t>(progress.engine)].id};
    }
    releaseEngines(request);
    progress.job = job;
    const bool poison = progress.crashes >= 2;
    if (poison) {
        m_poisonConfirmed = true;
    }
    if (poison || !m_requests[static_cast<std::size_t>(request)].repeatable) {
        progress.failed = true;
        refuseRequest(request);
        return;
    }
    m_resumes[static_cast<std::size_t>(progress.daemon)].push_back(request);
}

}
