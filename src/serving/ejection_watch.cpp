#include "serving/ejection_watch.h"

#include "serving/edge_context.h"
#include "serving/ejection_log.h"
#include "serving/placement_log.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr auto watchInterval = std::chrono::milliseconds(100); // Reports of other daemons arrive every 250 ms at most.
constexpr std::size_t maxSharedEndpoints = 8; // Two sums each, of the 64 that a summary carries.
constexpr double maxSharedLosses = 2; // Three daemons must lose attempts before the others act on their reports.
constexpr double minSharedLosses = 0.5; // A loss counts until its half-life is over.
constexpr double maxReported = 1e6; // Attempts in a few seconds; more is an error of the sender.

double sanitized(double reported)
{
    return std::isfinite(reported) && reported > 0 ? std::min(reported, maxReported) : 0;
}

/// One endpoint whose outcomes are to be published.
struct shared_outcome
{
    std::uint64_t endpoint = 0;
    double attempts = 0;
    double losses = 0;
    double rank = 0; ///< Losses of all daemons.
};

std::vector<shared_outcome> outcomesToShare(const endpoint_registry &endpoints, const shared_sums &sums, instant now)
{
    std::vector<shared_outcome> out;
    for (const auto &endpoint : endpoints.all()) {
        const auto counts = endpoint->ejection.counts(now);
        const double reported = sanitized(sums.others(sumKey(sum_purpose::EndpointFailures, endpoint->hash)));
        const double losses = endpoint->ejection.lostLately(now) && counts.losses >= minSharedLosses ? counts.losses : 0;
        // Without the attempts of daemons that lose none, the others would overrate the losses.
        if (losses > 0 || (reported > 0 && counts.attempts >= minSharedLosses)) {
            const double scale = losses > maxSharedLosses ? maxSharedLosses / losses : 1;
            out.push_back({endpoint->hash, toHundredth(counts.attempts * scale), toHundredth(losses * scale), losses + reported});
        }
    }
    std::ranges::stable_sort(out, std::ranges::greater(), &shared_outcome::rank);
    out.resize(std::min(out.size(), maxSharedEndpoints));
    return out;
}

bool prefills(const endpoint_state &endpoint)
{
    return endpoint.entry.role == endpoint_role::Prefill;
}

void logChange(edge_context &context, const ejection_input &input, const ejection_change &change)
{
    context.counters.count(change.ejects ? metric_counter::EndpointsEjected : metric_counter::EndpointsRestored);
    auto line = context.line(change.ejects ? ejectedEvent : restoredEvent);
    logEjection(line, input, change);
    context.log.write(line);
}

void decide(edge_context &context, std::span<const endpoint_ptr> endpoints, instant now)
{
    const auto input = makeEjectionInput(endpoints.front()->entry.service, endpoints, context.sums, now);
    const auto changes = decideEjections(input);
    applyEjections(endpoints, changes, now);
    for (const auto &change : changes) {
        logChange(context, input, change);
    }
}

}

void shareOutcomes(const endpoint_registry &endpoints, shared_sums &sums, shared_outcomes &shared, instant now)
{
    if (now - shared.sharedAt < watchInterval) {
        return;
    }
    shared.sharedAt = now;
    const auto outcomes = outcomesToShare(endpoints, sums, now);
    for (const auto endpoint : std::exchange(shared.endpoints, {})) {
        if (std::ranges::find(outcomes, endpoint, &shared_outcome::endpoint) == outcomes.end()) {
            sums.setOwn(sumKey(sum_purpose::EndpointAttempts, endpoint), 0);
            sums.setOwn(sumKey(sum_purpose::EndpointFailures, endpoint), 0);
        }
    }
    for (const auto &outcome : outcomes) {
        sums.setOwn(sumKey(sum_purpose::EndpointAttempts, outcome.endpoint), outcome.attempts);
        sums.setOwn(sumKey(sum_purpose::EndpointFailures, outcome.endpoint), outcome.losses);
        shared.endpoints.push_back(outcome.endpoint);
    }
}

ejection_input makeEjectionInput(std::string_view service, std::span<const endpoint_ptr> endpoints, const shared_sums &sums, instant now)
{
    ejection_input input{.service = std::string(service)};
    for (const auto &endpoint : endpoints) {
        const auto &state = endpoint->ejection;
        const auto counts = state.counts(now);
        const double losses = toHundredth(sanitized(sums.others(sumKey(sum_purpose::EndpointFailures, endpoint->hash))));
        const double attempts = toHundredth(sanitized(sums.others(sumKey(sum_purpose::EndpointAttempts, endpoint->hash))));
        input.endpoints.push_back({
            .id = endpoint->entry.id,
            .prefills = prefills(*endpoint),
            .available = endpoint->usable(now),
            .phase = state.phase(now),
            .own = {toHundredth(counts.attempts), toHundredth(counts.losses), toHundredth(counts.errors)},
            .lossesInRow = state.lossesInRow(),
            .errorsInRow = state.errorsInRow(),
            .othersAttempts = std::max(attempts, losses),
            .othersLosses = losses,
            .answeredLately = state.answeredLately(now),
            .level = state.level(now),
            .trialAnswers = state.trialAnswers(),
            .trialErrors = state.trialErrors(),
            .trialLosses = state.trialLosses(),
        });
    }
    return input;
}

void applyEjections(std::span<const endpoint_ptr> endpoints, const std::vector<ejection_change> &changes, instant now)
{
    for (const auto &change : changes) {
        auto &state = endpoints[static_cast<std::size_t>(change.endpoint)]->ejection;
        if (change.ejects) {
            state.eject(std::chrono::milliseconds(std::llround(change.forMs)), now);
        } else {
            state.restore(now);
        }
    }
}

std::vector<const endpoint_state *> ejectedEndpoints(std::span<const endpoint_ptr> endpoints, const std::set<std::string> &failed, bool repeatable, instant now)
{
    const bool any = std::ranges::any_of(endpoints, [now](const auto &endpoint) {
        return endpoint->ejection.phase(now) != ejection_phase::Serving;
    });
    std::vector<const endpoint_state *> out;
    if (!any) {
        return out;
    }
    std::vector<ejection_seat> seats;
    for (const auto &endpoint : endpoints) {
        const auto &state = endpoint->ejection;
        const bool takesTrial = state.takesTrial(repeatable && failed.empty(), now);
        seats.push_back({prefills(*endpoint), endpoint->usable(now), state.phase(now), takesTrial, state.ejectedUntil()});
    }
    const auto over = passedOver(seats);
    bool anyLeft = false;
    for (std::size_t i = 0; i < over.size(); ++i) {
        if (over[i]) {
            out.push_back(endpoints[i].get());
        } else {
            anyLeft = anyLeft || (seats[i].available && !seats[i].prefills && !failed.contains(endpoints[i]->entry.id));
        }
    }
    if (!anyLeft) {
        out.clear();
    }
    return out;
}

ejection_view::ejection_view(edge_context &context, std::span<const endpoint_ptr> endpoints, const std::set<std::string> &failed, bool repeatable, instant now)
    : m_now(now)
    , m_active(context.settings.ejectsEndpoints)
{
    if (!m_active || endpoints.empty()) {
        return;
    }
    bool due = false;
    for (const auto &endpoint : endpoints) {
        due = endpoint->ejection.takeChange() || due;
    }
    if (auto &decidedAt = endpoints.front()->ejectionDecidedAt; due || now - decidedAt >= watchInterval) {
        decidedAt = now;
        shareOutcomes(context.endpoints, context.sums, context.sharedOutcomes, now);
        decide(context, endpoints, now);
    }
    m_excluded = ejectedEndpoints(endpoints, failed, repeatable, now);
}

bool ejection_view::excludes(const endpoint_state &endpoint) const
{
    return std::ranges::find(m_excluded, &endpoint) != m_excluded.end();
}

double ejection_view::failureRate(const endpoint_state &endpoint, bool repeatable) const
{
    if (m_active && endpoint.ejection.phase(m_now) != ejection_phase::Serving) {
        return 0;
    }
    if (!repeatable) {
        return toHundredth(endpoint.failureRate);
    }
    return m_active ? toHundredth(endpoint.ejection.lossRate(m_now)) : 0;
}

}
