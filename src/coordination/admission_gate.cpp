#include "coordination/admission_gate.h"

#include "coordination/admission.h"

#include <algorithm>
#include <iterator>

namespace lacewinglock
{

namespace
{

// Waiting threads look at the clock, their caller and their bucket this often when no other request leaves.
constexpr auto waitStep = std::chrono::milliseconds(20);

// Output tokens occupy an engine longer than prompt tokens, which are processed in batches.
constexpr double outputTokenWeight = 4;

// Bucket size of an organisation with a rate but without a burst.
constexpr double defaultBurstSeconds = 10;

double cost(const admit_input &input)
{
    return input.promptTokens + outputTokenWeight * input.maxOutputTokens;
}

double tokensOf(const admit_input &input)
{
    return input.promptTokens + input.maxOutputTokens;
}

// The request waits for its own organisation or key, not for the group, so that others need not wait behind it.
bool waitsForOwnLimit(const admit_input &input)
{
    const auto &limits = input.limits;
    return (limits.concurrentRequests > 0 && input.organisationInFlight >= limits.concurrentRequests)
        || (input.keyLimit > 0 && input.keyInFlight >= input.keyLimit) || (limits.tokensPerSecond > 0 && input.bucketTokens < tokensOf(input));
}

}

// Blocks until the request is admitted or refused. The decision and the counting happen under one lock, so that two requests never
// take the same free place.
admit_result admission_gate::enter(const admit_input &input, const arrival &who)
{
    std::unique_lock lock(m_mutex);
    auto &organisation = m_organisations[input.organisation];
    organisation.weight = std::max(input.weight, 1e-6);
    const double startTag = std::max(m_virtualTime, organisation.lastFinishTag);
    organisation.lastFinishTag = startTag + cost(input) / organisation.weight;
    ++organisation.waiting;
    const auto self = m_waiters.insert(m_waiters.end(), {.group = who.group, .startTag = startTag});
    admit_input seen;
    admit_result result{.verdict = admit_verdict::Wait};
    while (true) {
        const instant now = who.now();
        seen = fill(input, who, now);
        if (who.callerGone()) {
            result = {.verdict = admit_verdict::Refuse, .reason = "caller left"};
        } else if (isNext(self) || seen.remainingMs <= 0) {
            result = decideAdmission(seen);
            self->passed = result.verdict == admit_verdict::Wait && waitsForOwnLimit(seen);
        }
        if (result.verdict != admit_verdict::Wait) {
            break;
        }
        m_changed.wait_for(lock, waitStep);
    }
    m_waiters.erase(self);
    --organisation.waiting;
    if (result.verdict == admit_verdict::Admit) {
        take(input, who.group, startTag);
    } else {
        organisation.lastFinishTag -= cost(input) / organisation.weight;
    }
    lock.unlock();
    m_changed.notify_all();
    who.record(seen, result);
    return result;
}

void admission_gate::leave(const admit_input &input, const std::string &group)
{
    {
        const std::lock_guard lock(m_mutex);
        auto &organisation = m_organisations[input.organisation];
        --organisation.inFlight;
        organisation.tokensInFlight -= tokensOf(input);
        --m_keysInFlight[input.keyId];
        m_groups[group].tokensInFlight -= tokensOf(input);
        --m_inFlight;
    }
    m_changed.notify_all();
}

int admission_gate::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_inFlight;
}

int admission_gate::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_waiters.size());
}

// Completes the decision's input with the counters as they are now.
admit_input admission_gate::fill(const admit_input &input, const arrival &who, instant now)
{
    admit_input seen = input;
    auto &organisation = m_organisations[input.organisation];
    const double burst = input.limits.burstTokens > 0 ? input.limits.burstTokens : input.limits.tokensPerSecond * defaultBurstSeconds;
    const double earned = input.limits.tokensPerSecond * toMs(now - organisation.bucketAt) / 1000;
    organisation.bucketTokens = organisation.bucketKnown ? std::min(burst, organisation.bucketTokens + earned) : burst;
    organisation.bucketKnown = true;
    organisation.bucketAt = now;
    seen.bucketTokens = organisation.bucketTokens;
    seen.organisationInFlight = organisation.inFlight;
    seen.organisationTokensInFlight = organisation.tokensInFlight;
    seen.keyInFlight = m_keysInFlight[input.keyId];
    seen.groupTokensInFlight = m_groups[who.group].tokensInFlight;
    seen.groupTokenShare = groupLimit(who);
    seen.waiting = static_cast<int>(m_waiters.size()) - 1;
    seen.remainingMs = toMs(who.deadline - now);
    for (const auto &[name, other] : m_organisations) {
        seen.activeWeight += other.inFlight + other.waiting > 0 ? other.weight : 0;
    }
    return seen;
}

// Tokens that this daemon may have in flight at the group. Reports lag, so what was admitted since the last one counts against it.
double admission_gate::groupLimit(const arrival &who)
{
    auto &group = m_groups[who.group];
    if (const double reported = who.freeGroupTokens(); reported != group.freeTokens) {
        group.freeTokens = reported;
        group.tokensAtReport = group.tokensInFlight;
    }
    return group.freeTokens > 0 ? group.freeTokens + group.tokensAtReport : 0;
}

// A request is decided on when each one before it in virtual time waits for a limit of its own.
bool admission_gate::isNext(waiter_list::const_iterator self) const
{
    return std::ranges::none_of(m_waiters, [&](const waiter &other) {
        return !other.passed && other.group == self->group && other.startTag < self->startTag;
    });
}

void admission_gate::take(const admit_input &input, const std::string &group, double startTag)
{
    auto &organisation = m_organisations[input.organisation];
    m_virtualTime = std::max(m_virtualTime, startTag);
    ++organisation.inFlight;
    organisation.tokensInFlight += input.promptTokens + input.maxOutputTokens;
    if (input.limits.tokensPerSecond > 0) {
        organisation.bucketTokens -= input.promptTokens + input.maxOutputTokens;
    }
    ++m_keysInFlight[input.keyId];
    m_groups[group].tokensInFlight += tokensOf(input);
    ++m_inFlight;
}

}
