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
constexpr std::uint64_t triesPerPump = 16;
constexpr int waitsPerPump = 4; // Requests tried after the first that has to wait; they may fit where it does not.

double requestCostOf(const bench_request &request)
{
    return requestCost(request.promptTokens, request.outputTokens);
}

}

void bench_state::arrive(int request)
{
    const auto &item = m_requests[static_cast<std::size_t>(request)];
    auto &course = m_courses[static_cast<std::size_t>(request)];
    course.daemon = m_random.below(benchDaemons);
    course.cost = requestCostOf(item);
    course.job = {.request = request,
                  .promptTokens = item.promptTokens,
                  .prefixTokens = item.prefixTokens,
                  .prefix = item.prefix,
                  .outputTokens = item.outputTokens,
                  .poison = item.poison};
    measureDemand(item);
    // A known poison prompt, or a claim that the store cannot confirm, is refused before anything is sent.
    if ((item.poison && m_poisonKnown) || (!item.repeatable && !storeUp())) {
        refuse(request);
        return;
    }
    auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
    daemon.meanCost += (course.cost - daemon.meanCost) * 0.01;
    // An organisation without work here starts at the level of the others, so that idle time earns no credit.
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
        pump(course.daemon);
    }
}

void bench_state::pump(int daemon)
{
    auto &resumes = m_resumes[static_cast<std::size_t>(daemon)];
    std::erase_if(resumes, [&](int request) {
        return tryResume(request);
    });
    if (!m_daemons[static_cast<std::size_t>(daemon)].waiting.empty()) {
        pumpWaiting(daemon);
    }
}

/// Tries the waiting requests in their order until several in a row have to wait.
void bench_state::pumpWaiting(int daemon)
{
    auto &state = m_daemons[static_cast<std::size_t>(daemon)];
    std::erase_if(state.waiting, [&](int request) {
        const bool expired = m_now > m_requests[static_cast<std::size_t>(request)].arrivalMs + deadlineMs;
        if (expired) {
            refuse(request);
        }
        return expired;
    });
    order_input order{.limit = triesPerPump, .policy = m_variant.admission};
    for (const int request : state.waiting) {
        const auto &item = m_requests[static_cast<std::size_t>(request)];
        order.waiting.push_back({.id = std::to_string(request),
                                 .organisation = std::to_string(item.organisation),
                                 .weight = benchWeight(m_workload, item.organisation),
                                 .costTokens = m_courses[static_cast<std::size_t>(request)].cost,
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
            if (++waits >= waitsPerPump) {
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
    const auto &course = m_courses[static_cast<std::size_t>(request)];
    route_input input{.requestId = std::to_string(request),
                      .group = "main",
                      .organisation = std::to_string(item.organisation),
                      .promptTokens = course.job.promptTokens,
                      .maxOutputTokens = static_cast<double>(course.job.outputTokens),
                      .remainingMs = item.arrivalMs + deadlineMs - m_now,
                      .repeatable = item.repeatable,
                      .suspect = course.suspect,
                      .excluded = course.excluded,
                      .seed = m_random.next(),
                      .endpoints = daemon.views(m_fleet.facts, item, m_now),
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
    const auto &course = m_courses[static_cast<std::size_t>(request)];
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
        if (organisation != item.organisation && tokensOf(organisation) + course.cost <= share) {
            input.waitingBelowShare += count;
        }
    }
    return input;
}

admit_verdict bench_state::tryAdmit(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
    const auto input = routeInput(request, daemon);
    const auto route = decideRoute(input);
    m_signature.add(route.endpoint);
    m_signature.add(route.prefillEndpoint);
    m_signature.add(route.predictedFirstTokenMs);
    if (route.endpoint.empty()) {
        if (input.remainingMs > 0) {
            return admit_verdict::Wait;
        }
        refuse(request);
        return admit_verdict::Refuse;
    }
    const auto admission = decideAdmission(admitInput(request, daemon, route, groupCapacityTokens(input.endpoints, daemon.meanCost)));
    m_signature.add(admission.reason);
    m_signature.add(admission.retryAfterMs);
    if (admission.verdict == admit_verdict::Refuse) {
        refuse(request);
    } else if (admission.verdict == admit_verdict::Admit) {
        const auto &item = m_requests[static_cast<std::size_t>(request)];
        daemon.served[item.organisation] += course.cost / benchWeight(m_workload, item.organisation);
        daemon.organisationTokens[item.organisation] += course.cost;
        daemon.tokensInFlight += course.cost;
        send(request, route, input);
    }
    return admission.verdict;
}

/// Runs an interrupted request elsewhere; it was admitted before. Tells whether it needs no further try.
bool bench_state::tryResume(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    const auto input = routeInput(request, m_daemons[static_cast<std::size_t>(course.daemon)]);
    const auto route = decideRoute(input);
    m_signature.add(route.endpoint);
    if (route.endpoint.empty()) {
        if (input.remainingMs > 0) {
            return false;
        }
        refuse(request);
        return true;
    }
    send(request, route, input);
    return true;
}

void bench_state::send(int request, const route_result &route, const route_input &input)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
    const int target = m_fleet.find(route.endpoint);
    const int prefill = route.prefillEndpoint.empty() ? target : m_fleet.find(route.prefillEndpoint);
    const auto &view = *std::ranges::find(input.endpoints, m_fleet.facts[static_cast<std::size_t>(prefill)].id, &endpoint_view::id);
    course.engine = target;
    course.prefillEngine = prefill;
    course.expectedTokens = std::max(1.0, input.promptTokens - view.cachedPromptTokens);
    m_sentTokens = m_sentTokens * 0.995 + input.promptTokens;
    m_missTokens = m_missTokens * 0.995 + course.expectedTokens;
    ++course.attempts;
    ++course.receipts;
    daemon.noteSent(prefill, course.expectedTokens, input.promptTokens);
    ++m_fleet.slots[static_cast<std::size_t>(prefill)].assigned;
    if (target != prefill) {
        daemon.noteSent(target, 0, 0);
        ++m_fleet.slots[static_cast<std::size_t>(target)].assigned;
    }
    if (course.job.prefix >= 0) {
        daemon.setCached(prefill, course.job.prefix, 0.9);
    }
    course.job.uncachedLeft = -1;
    course.job.decodeEngine = target != prefill ? target : -1;
    m_fleet.slots[static_cast<std::size_t>(prefill)].engine.enqueue(course.job);
    kick(prefill);
}

void bench_state::token(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    if (course.prefillEngine >= 0) {
        firstToken(request);
    }
    if (course.firstTokenMs < 0) {
        course.firstTokenMs = m_now;
    } else {
        ++course.gaps;
        course.slowGaps += m_now - course.lastTokenMs > toMs(tunables::tokenGapTarget) ? 1 : 0;
    }
    course.lastTokenMs = m_now;
}

/// The prefill of an attempt has ended.
void bench_state::firstToken(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
    const int prefill = course.prefillEngine;
    course.prefillEngine = -1;
    ++course.executions;
    if (course.job.prefix >= 0) {
        daemon.setCached(prefill, course.job.prefix, 1);
    }
    daemon.noteFirstToken(prefill, course.expectedTokens);
    if (prefill != course.engine) {
        daemon.noteFinished(prefill);
        --m_fleet.slots[static_cast<std::size_t>(prefill)].assigned;
        finishDrain(prefill);
    }
}

/// Hands a stream over after its prefill, unless the engine was lost meanwhile.
void bench_state::importAt(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    if (course.done || course.engine < 0 || course.prefillEngine >= 0) {
        return;
    }
    auto &slot = m_fleet.slots[static_cast<std::size_t>(course.engine)];
    if (slot.untilMs >= 0 || !m_fleet.facts[static_cast<std::size_t>(course.engine)].reachable) {
        fail(request, course.job);
        return;
    }
    slot.engine.import(course.job);
    kick(course.engine);
}

/// Takes a request off its engines.
void bench_state::detach(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
    if (course.engine < 0) {
        return;
    }
    const int engine = course.engine;
    const int prefill = course.prefillEngine;
    course.engine = -1;
    course.prefillEngine = -1;
    if (prefill >= 0) {
        daemon.noteFirstToken(prefill, course.expectedTokens);
        if (prefill != engine) {
            daemon.noteFinished(prefill);
            --m_fleet.slots[static_cast<std::size_t>(prefill)].assigned;
            finishDrain(prefill);
        }
    }
    daemon.noteFinished(engine);
    --m_fleet.slots[static_cast<std::size_t>(engine)].assigned;
    finishDrain(engine);
}

void bench_state::finish(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
    const int organisation = m_requests[static_cast<std::size_t>(request)].organisation;
    course.done = true;
    if (course.engine >= 0 && m_fleet.facts[static_cast<std::size_t>(course.engine)].reclaimable) {
        course.job.prefix = -2; // Marks an answer from a reclaimable endpoint.
    }
    detach(request);
    daemon.organisationTokens[organisation] -= course.cost;
    daemon.tokensInFlight -= course.cost;
}

void bench_state::refuse(int request)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    course.refused = true;
    course.saidNotRun = course.attempts == 0;
    if (course.attempts > 0) {
        auto &daemon = m_daemons[static_cast<std::size_t>(course.daemon)];
        daemon.organisationTokens[m_requests[static_cast<std::size_t>(request)].organisation] -= course.cost;
        daemon.tokensInFlight -= course.cost;
    }
}

/// An attempt was cut. Repeatable requests resume from the last token; others answer "unknown".
void bench_state::fail(int request, const bench_job &job)
{
    auto &course = m_courses[static_cast<std::size_t>(request)];
    if (course.engine >= 0) {
        course.excluded = {m_fleet.facts[static_cast<std::size_t>(course.engine)].id};
    }
    detach(request);
    course.job = job;
    const bool poison = course.crashes >= 2;
    if (poison) {
        m_poisonKnown = true;
    }
    if (poison || !m_requests[static_cast<std::size_t>(request)].repeatable) {
        course.failed = true;
        refuse(request);
        return;
    }
    m_resumes[static_cast<std::size_t>(course.daemon)].push_back(request);
}

}
