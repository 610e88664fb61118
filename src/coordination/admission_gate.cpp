#include "coordination/admission_gate.h"

#include "coordination/admission.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

// The first waiting request of a group looks at the clock, its caller and its bucket this often when no other request leaves.
constexpr auto firstWaitStep = std::chrono::milliseconds(20);

// The other waiting requests can't run yet and only look for their caller and their deadline.
constexpr duration waitStep = std::chrono::milliseconds(100);

// Bucket size of an organisation with a rate but without a burst.
constexpr double defaultBurstSeconds = 10;

constexpr double minWeight = 1e-6;
constexpr double weightUnits = 1e6;

double tokensOf(const admit_input &input)
{
    return input.promptTokens + input.maxOutputTokens;
}

double costOf(const admit_input &input)
{
    return requestCost(input.promptTokens, input.maxOutputTokens);
}

}

// Blocks until the request is admitted or refused. The decision and the counting happen under one lock, so that two requests never
// take the same free place. The caller's connection is looked at without the lock.
admit_result admission_gate::enter(const admit_input &input, const arrival &who)
{
    waiter self;
    auto &group = join(input, who, self);
    admit_input seen;
    admit_result result{.verdict = admit_verdict::Wait};
    while (result.verdict == admit_verdict::Wait) {
        const bool gone = who.callerGone();
        std::unique_lock lock(m_mutex);
        const instant now = who.now();
        const bool first = group.queue.first() == self.arrival;
        if (gone) {
            seen = fill(input, who, group, now);
            result = {.verdict = admit_verdict::Refuse, .reason = "caller left"};
        } else if (first || now >= who.deadline) {
            seen = fill(input, who, group, now);
            result = decideAdmission(seen);
        }
        if (result.verdict != admit_verdict::Wait) {
            settle(input, group, self, result.verdict == admit_verdict::Admit);
        } else if (first) {
            self.changed.wait_for(lock, firstWaitStep);
        } else {
            self.changed.wait_for(lock, std::min<duration>(waitStep, who.deadline - now));
        }
    }
    who.record(seen, result);
    return result;
}

void admission_gate::leave(const admit_input &input, const std::string &group)
{
    const std::lock_guard lock(m_mutex);
    auto &organisation = m_organisations[input.organisation];
    --organisation.inFlight;
    organisation.tokensInFlight -= tokensOf(input);
    countWeight(organisation);
    if (const auto key = m_keysInFlight.find(input.keyId); key != m_keysInFlight.end() && --key->second <= 0) {
        m_keysInFlight.erase(key);
    }
    auto &state = m_groups[group];
    state.tokensInFlight -= tokensOf(input);
    state.demandTokens -= costOf(input);
    --m_inFlight;
    if (--state.inFlight == 0) {
        state.queue.endBusyPeriod();
    }
    wakeFirst(state);
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

// Counts the request as waiting. References to groups stay valid, since groups are never dropped.
admission_gate::group_state &admission_gate::join(const admit_input &input, const arrival &who, waiter &self)
{
    const std::lock_guard lock(m_mutex);
    auto &organisation = m_organisations[input.organisation];
    organisation.weight = std::max(input.weight, minWeight);
    ++organisation.waiting;
    countWeight(organisation);
    auto &group = m_groups[who.group];
    self.arrival = ++m_lastArrival;
    group.waiters[self.arrival] = &self;
    group.queue.add({.arrival = self.arrival, .organisation = input.organisation, .weight = input.weight, .costTokens = costOf(input), .late = input.late});
    group.demandTokens += costOf(input);
    ++m_waiting;
    return group;
}

// Ends the waiting of a request and lets the next one of its group decide.
void admission_gate::settle(const admit_input &input, group_state &group, const waiter &self, bool admitted)
{
    auto &organisation = m_organisations[input.organisation];
    --organisation.waiting;
    --m_waiting;
    group.waiters.erase(self.arrival);
    if (admitted) {
        group.queue.serve(self.arrival);
        take(input, group);
    } else {
        group.queue.remove(self.arrival);
        group.demandTokens -= costOf(input);
        if (group.inFlight == 0) {
            group.queue.endBusyPeriod();
        }
    }
    countWeight(organisation);
    wakeFirst(group);
}

// Completes the decision's input with the counters as they are now.
admit_input admission_gate::fill(const admit_input &input, const arrival &who, group_state &group, instant now)
{
    admit_input seen = input;
    auto &organisation = m_organisations[input.organisation];
    const double burst = input.limits.burstTokens > 0 ? input.limits.burstTokens : input.limits.tokensPerSecond * defaultBurstSeconds;
    const double earned = input.limits.tokensPerSecond * toMs(now - organisation.bucketAt) / 1000;
    organisation.bucketTokens = organisation.bucketKnown ? std::min(burst, organisation.bucketTokens + earned) : burst;
    organisation.bucketKnown = true;
    organisation.bucketAt = now;
    const auto key = m_keysInFlight.find(input.keyId);
    seen.bucketTokens = organisation.bucketTokens;
    seen.organisationInFlight = organisation.inFlight;
    seen.organisationTokensInFlight = organisation.tokensInFlight;
    seen.keyInFlight = key == m_keysInFlight.end() ? 0 : key->second;
    seen.groupTokensInFlight = group.tokensInFlight;
    seen.groupTokenShare = groupLimit(who, group);
    seen.waiting = m_waiting - 1;
    seen.remainingMs = toMs(who.deadline - now);
    seen.activeWeight = static_cast<double>(m_activeWeight) / weightUnits;
    return seen;
}

// Tokens that this daemon may have in flight at the group. Reports lag, so what was admitted since the last one counts against it.
double admission_gate::groupLimit(const arrival &who, group_state &group)
{
    if (const double reported = who.freeGroupTokens(); reported != group.freeTokens) {
        group.freeTokens = reported;
        group.tokensAtReport = group.tokensInFlight;
    }
    return group.freeTokens > 0 ? group.freeTokens + group.tokensAtReport : 0;
}

void admission_gate::take(const admit_input &input, group_state &group)
{
    auto &organisation = m_organisations[input.organisation];
    ++organisation.inFlight;
    organisation.tokensInFlight += tokensOf(input);
    if (input.limits.tokensPerSecond > 0) {
        organisation.bucketTokens -= tokensOf(input);
    }
    ++m_keysInFlight[input.keyId];
    group.tokensInFlight += tokensOf(input);
    ++group.inFlight;
    ++m_inFlight;
}

void admission_gate::countWeight(organisation_state &organisation)
{
    const bool active = organisation.inFlight + organisation.waiting > 0;
    const std::int64_t weight = active ? std::llround(organisation.weight * weightUnits) : 0;
    m_activeWeight += weight - organisation.countedWeight;
    organisation.countedWeight = weight;
}

void admission_gate::wakeFirst(const group_state &group)
{
    if (const auto first = group.queue.first()) {
        group.waiters.at(*first)->changed.notify_one();
    }
}

}
