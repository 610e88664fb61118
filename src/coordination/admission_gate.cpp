#include "coordination/admission_gate.h"

#include "coordination/admission.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

// Interval at which the first waiting request of a group checks its deadline, caller and token bucket while no other request ends.
constexpr auto firstRecheckInterval = std::chrono::milliseconds(20);

// Interval for the other waiting requests, which cannot run yet and only check their caller and deadline.
constexpr duration recheckInterval = std::chrono::milliseconds(100);

// Size of the token bucket, in seconds at the token rate, of an organisation without a burst limit.
constexpr double defaultBurstSeconds = 10;

constexpr double minWeight = 1e-6;
constexpr double weightScale = 1e6;

double tokenCount(const admit_input &input)
{
    return input.promptTokens + input.maxOutputTokens;
}

double weightedCost(const admit_input &input)
{
    return requestCost(input.promptTokens, input.maxOutputTokens);
}

}

// Decides and updates the counters under one lock, so that two requests never use the same free capacity. The caller's connection is
// checked without the lock.
admit_result admission_gate::enter(const admit_input &input, const arrival &context)
{
    waiter self;
    auto &group = enqueue(input, context, self);
    admit_input decisionInput;
    admit_result result{.verdict = admit_verdict::Wait};
    while (result.verdict == admit_verdict::Wait) {
        const bool disconnected = context.callerGone();
        std::unique_lock lock(m_mutex);
        const instant now = context.now();
        const bool first = group.queue.first() == self.arrival;
        if (disconnected) {
            decisionInput = withCounters(input, context, group, now);
            result = {.verdict = admit_verdict::Refuse, .reason = "caller left"};
        } else if (first || now >= context.deadline) {
            decisionInput = withCounters(input, context, group, now);
            result = decideAdmission(decisionInput);
        }
        if (result.verdict != admit_verdict::Wait) {
            dequeue(input, group, self, result.verdict == admit_verdict::Admit);
        } else if (first) {
            self.changed.wait_for(lock, firstRecheckInterval);
        } else {
            self.changed.wait_for(lock, std::min<duration>(recheckInterval, context.deadline - now));
        }
    }
    context.record(decisionInput, result);
    return result;
}

void admission_gate::leave(const admit_input &input, const std::string &group)
{
    const std::lock_guard lock(m_mutex);
    auto &organisation = m_organisations[input.organisation];
    --organisation.inFlight;
    organisation.tokensInFlight -= tokenCount(input);
    updateActiveWeight(organisation);
    if (const auto key = m_keysInFlight.find(input.keyId); key != m_keysInFlight.end() && --key->second <= 0) {
        m_keysInFlight.erase(key);
    }
    auto &state = m_groups[group];
    state.tokensInFlight -= tokenCount(input);
    state.demandTokens -= weightedCost(input);
    --m_inFlight;
    if (--state.inFlight == 0) {
        state.queue.endBusyPeriod();
    }
    notifyFirst(state);
}

int admission_gate::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_inFlight;
}

int admission_gate::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting;
}

std::vector<group_demand> admission_gate::demand() const
{
    std::vector<group_demand> list;
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, group] : m_groups) {
        if (group.inFlight > 0 || group.queue.size() > 0) {
            list.push_back({.group = name, .weightedTokens = group.demandTokens});
        }
    }
    std::ranges::sort(list, {}, &group_demand::group);
    return list;
}

// Adds the request to the queue of its group. The returned reference stays valid, since groups are never erased.
admission_gate::group_state &admission_gate::enqueue(const admit_input &input, const arrival &context, waiter &self)
{
    const std::lock_guard lock(m_mutex);
    auto &organisation = m_organisations[input.organisation];
    organisation.weight = std::max(input.weight, minWeight);
    ++organisation.waiting;
    updateActiveWeight(organisation);
    auto &group = m_groups[context.group];
    self.arrival = ++m_lastArrival;
    group.waiters[self.arrival] = &self;
    group.queue.add(
        {.arrival = self.arrival, .organisation = input.organisation, .weight = input.weight, .costTokens = weightedCost(input), .late = input.late});
    group.demandTokens += weightedCost(input);
    ++m_waiting;
    return group;
}

// Removes an admitted or refused request from the queue and notifies the next request of its group.
void admission_gate::dequeue(const admit_input &input, group_state &group, const waiter &self, bool admitted)
{
    auto &organisation = m_organisations[input.organisation];
    --organisation.waiting;
    --m_waiting;
    group.waiters.erase(self.arrival);
    if (admitted) {
        group.queue.serve(self.arrival);
        addInFlight(input, group);
    } else {
        group.queue.remove(self.arrival);
        group.demandTokens -= weightedCost(input);
        if (group.inFlight == 0) {
            group.queue.endBusyPeriod();
        }
    }
    updateActiveWeight(organisation);
    notifyFirst(group);
}

// Refills the token bucket and returns the decision's input with the current counters.
admit_input admission_gate::withCounters(const admit_input &input, const arrival &context, group_state &group, instant now)
{
    admit_input decisionInput = input;
    auto &organisation = m_organisations[input.organisation];
    const double burst = input.limits.burstTokens > 0 ? input.limits.burstTokens : input.limits.tokensPerSecond * defaultBurstSeconds;
    const double refill = input.limits.tokensPerSecond * toMs(now - organisation.bucketUpdatedAt) / 1000;
    organisation.bucketTokens = organisation.bucketInitialised ? std::min(burst, organisation.bucketTokens + refill) : burst;
    organisation.bucketInitialised = true;
    organisation.bucketUpdatedAt = now;
    const auto key = m_keysInFlight.find(input.keyId);
    decisionInput.bucketTokens = organisation.bucketTokens;
    decisionInput.organisationInFlight = organisation.inFlight;
    decisionInput.organisationTokensInFlight = organisation.tokensInFlight;
    decisionInput.keyInFlight = key == m_keysInFlight.end() ? 0 : key->second;
    decisionInput.groupTokensInFlight = group.tokensInFlight;
    decisionInput.groupTokenShare = groupLimit(context, group);
    decisionInput.waiting = m_waiting - 1;
    decisionInput.remainingMs = toMs(context.deadline - now);
    decisionInput.activeWeight = static_cast<double>(m_activeWeight) / weightScale;
    return decisionInput;
}

// Tokens that this daemon may have in flight at the group. Tokens admitted since the last report count against its free capacity.
double admission_gate::groupLimit(const arrival &context, group_state &group)
{
    if (const double reported = context.freeGroupTokens(); reported != group.freeTokens) {
        group.freeTokens = reported;
        group.tokensAtReport = group.tokensInFlight;
    }
    return group.freeTokens > 0 ? group.freeTokens + group.tokensAtReport : 0;
}

void admission_gate::addInFlight(const admit_input &input, group_state &group)
{
    auto &organisation = m_organisations[input.organisation];
    ++organisation.inFlight;
    organisation.tokensInFlight += tokenCount(input);
    if (input.limits.tokensPerSecond > 0) {
        organisation.bucketTokens -= tokenCount(input);
    }
    ++m_keysInFlight[input.keyId];
    group.tokensInFlight += tokenCount(input);
    ++group.inFlight;
    ++m_inFlight;
}

void admission_gate::updateActiveWeight(organisation_state &organisation)
{
    const bool active = organisation.inFlight + organisation.waiting > 0;
    const std::int64_t weight = active ? std::llround(organisation.weight * weightScale) : 0;
    m_activeWeight += weight - organisation.activeWeightCounted;
    organisation.activeWeightCounted = weight;
}

void admission_gate::notifyFirst(const group_state &group)
{
    if (const auto first = group.queue.first()) {
        group.waiters.at(*first)->changed.notify_one();
    }
}

}
