#include "serving/hedge_watch.h"

#include "serving/hedge_log.h"
#include "serving/placement_log.h"
#include "transport/boot_clock.h"
#include "transport/spawn.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr auto checkInterval = std::chrono::milliseconds(50); // While no endpoint has room. Slots of plain calls free up within 30 to 60 ms.
constexpr auto maxTimerDelay = std::chrono::milliseconds(50); // A check that is later than this shows that the process did not run.
// How long an endpoint counts as overdue after its attempt was cancelled: half of the 600 ms for which endpoints usually stay slow. The cancellation ends the
// sign by which placement avoids a slow endpoint, which would get the next requests then.
constexpr auto overdueMemory = std::chrono::milliseconds(300);

task<void> keepOverdue(endpoint_ptr endpoint, instant due)
{
    const answer_deadline deadline(std::move(endpoint), due);
    co_await sleepFor(overdueMemory);
}

std::string_view winnerOf(hedge_end result)
{
    switch (result) {
    case hedge_end::FirstAnswered:
        return "first";
    case hedge_end::SecondAnswered:
    case hedge_end::SecondAfterFailure:
        return "second";
    default:
        return "none";
    }
}

}

hedge_watch::hedge_watch(edge_context &context, const caller_request &request)
    : m_context(context)
    , m_request(request)
    , m_timer(context.loop)
{
}

void hedge_watch::start(endpoint_ptr first, int sizeClass, duration maxOverlap, hedge_hooks hooks)
{
    if (!(m_context.settings.hedgeRatio > 0)) {
        return;
    }
    m_first = std::move(first);
    m_second.clear();
    m_sizeClass = sizeClass;
    m_maxOverlap = maxOverlap;
    m_hooks = std::move(hooks);
    m_sentAt = bootNow();
    const auto quantile = m_context.latencies.percentile95(m_request.route->name, sizeClass, m_sentAt);
    m_quantileMs = toTenth(quantile.value_or(-1));
    if (quantile) {
        checkAfter(fromMs(m_quantileMs));
    }
}

void hedge_watch::stop()
{
    m_timer.cancel();
}

void hedge_watch::end(hedge_end result)
{
    stop();
    if (!m_first) {
        return;
    }
    const auto first = std::exchange(m_first, nullptr);
    const instant now = bootNow();
    const double ms = waitedMs();
    if (result == hedge_end::SecondAnswered) {
        spawnBackground(m_context.loop, keepOverdue(first, m_sentAt + fromMs(m_quantileMs)), "keep_overdue");
    }
    double savedMs = 0;
    if (result == hedge_end::FirstAnswered) {
        m_context.latencies.record(m_request.route->name, m_sizeClass, ms, latency_sample::Answered, now);
    } else if (result != hedge_end::FirstFailed && result != hedge_end::SecondAfterFailure) {
        savedMs = m_context.latencies.meanRemainingMs(m_request.route->name, m_sizeClass, ms);
        m_context.latencies.record(m_request.route->name, m_sizeClass, ms, latency_sample::Censored, now);
    }
    if (m_second.empty()) {
        return;
    }
    const bool won = result == hedge_end::SecondAnswered || result == hedge_end::SecondAfterFailure;
    // A caller that left says nothing about which one would have answered first.
    if (result != hedge_end::CallerGone) {
        m_context.counters.count(won ? metric_counter::HedgesWon : metric_counter::HedgesLost);
        m_context.hedges.noteResult(m_request.service, won);
    }
    auto line = m_context.line("hedge_result");
    line.add("id", m_request.id).add("winner", winnerOf(result)).add("endpoint", m_second).add("ms", toTenth(ms));
    line.add("saved_ms", toTenth(won ? savedMs : 0));
    m_context.log.write(line);
}

void hedge_watch::checkAfter(duration time)
{
    m_timer.start(time, [this, due = bootNow() + time] {
        // Answers that arrived while the process did not run are read first. Otherwise a pause would send hedges for all requests.
        if (bootNow() - due > maxTimerDelay) {
            checkAfter(checkInterval);
        } else {
            check();
        }
    });
}

void hedge_watch::check()
{
    auto input = makeInput();
    std::vector<hedge_choice> choices;
    addCandidates(input, choices);
    const auto decision = decideHedge(input);
    if (decision.checkAgain) {
        checkAfter(checkInterval);
    }
    if (decision.overBudget) {
        m_context.counters.count(metric_counter::HedgesOverBudget);
    }
    if (decision.candidate < 0) {
        return;
    }
    const auto &choice = choices[static_cast<std::size_t>(decision.candidate)];
    if (!m_hooks.send(choice)) {
        return;
    }
    m_second = choice.endpoint->entry.id;
    m_context.hedges.noteSent(m_request.service, bootNow());
    m_context.counters.count(metric_counter::HedgesSent);
    auto line = m_context.line("hedge");
    logHedge(line, input, decision);
    m_context.log.write(line);
}

hedge_input hedge_watch::makeInput() const
{
    const instant now = bootNow();
    const auto &route = *m_request.route;
    hedge_input input{
        .requestId = m_request.id,
        .service = m_request.service,
        .firstEndpoint = m_first->entry.id,
        .ratio = m_context.settings.hedgeRatio,
        .evenServices = m_context.settings.hedgeEvenServices,
        .unevenPace = m_context.endpoints.hasUnevenPace(m_request.service, now),
        .mayRunTwice = route.stream ? route.resumable : route.repeatable,
        .suspect = m_request.isTrial || crashesEndpoints(m_context, m_request),
        .stopping = m_context.stopping,
        .attempts = m_hooks.attempts(),
        .maxAttempts = route.maxAttempts,
        .waitedMs = toTenth(waitedMs()),
        .quantileMs = m_quantileMs,
        .remainingMs = toTenth(toMs(m_request.deadline - now)),
        .maxOverlapMs = toTenth(toMs(m_maxOverlap)),
        .allowance = m_context.hedges.allowance(m_request.service, now),
        .retries = m_context.retryBudget.room(m_request.service, m_context.daemons(), now),
    };
    input.allowance.credit = toHundredth(input.allowance.credit);
    input.allowance.sinceLastMs = toTenth(input.allowance.sinceLastMs);
    for (const auto &endpoint : m_context.endpoints.ofService(m_request.service)) {
        if (endpoint->usable(now) && endpoint->entry.role != endpoint_role::Prefill) {
            input.running += endpoint->own.running + endpoint->peers.running;
            input.slots += slotsOf(*endpoint);
        }
    }
    return input;
}

// Placement compares the costs, so it is asked twice: among all endpoints that can take the request, and among those in other failure domains.
void hedge_watch::addCandidates(hedge_input &input, std::vector<hedge_choice> &choices) const
{
    const auto mayTake = [this](const endpoint_state &endpoint) {
        return hedgeObstacle(makeCandidate(endpoint, 0)).empty();
    };
    const auto add = [&](const std::function<bool(const endpoint_state &)> &filter) {
        if (const auto choice = m_hooks.place(filter)) {
            input.candidates.push_back(makeCandidate(*choice->endpoint, toTenth(choice->predictedMs)));
            choices.push_back(*choice);
        }
    };
    add(mayTake);
    if (!input.candidates.empty() && !input.candidates.front().otherDomain) {
        add([&](const endpoint_state &endpoint) {
            return mayTake(endpoint) && endpoint.entry.failureDomain != m_first->entry.failureDomain;
        });
    }
}

hedge_candidate hedge_watch::makeCandidate(const endpoint_state &endpoint, double predictedMs) const
{
    const instant now = bootNow();
    const bool sameProcess = endpoint.hash == m_first->hash || endpoint.entry.address == m_first->entry.address;
    return {
        .id = endpoint.entry.id,
        .otherDomain = endpoint.entry.failureDomain != m_first->entry.failureDomain,
        .usable = endpoint.usable(now) && !endpoint.saysLeaving && endpoint.consecutiveUnreachable == 0,
        .tried = sameProcess || m_hooks.hasFailed(endpoint.entry.id),
        .restricted = endpoint.limit.has_value() || now < endpoint.pausedUntil,
        .running = endpoint.own.running + endpoint.peers.running,
        .slots = slotsOf(endpoint),
        .predictedMs = predictedMs,
    };
}

int hedge_watch::slotsOf(const endpoint_state &endpoint) const
{
    const auto &services = m_request.configuration->services;
    const auto service = services.find(m_request.service);
    return service != services.end() && service->second.engine ? service->second.engine->slots : std::max(1, endpoint.entry.slots);
}

double hedge_watch::waitedMs() const
{
    return toMs(bootNow() - m_sentAt);
}

}
