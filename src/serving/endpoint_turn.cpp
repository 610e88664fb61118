#include "serving/endpoint_turn.h"

#include "serving/caller_exchange.h"
#include "serving/limit_share.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr double noShareWaitMs = 1000; // For a daemon that is not among the members, and so has no slots.
constexpr auto checkInterval = std::chrono::milliseconds(100); // A request that waits need not wait on if the endpoint's state changes.

// Returns false as soon as the request must not, or need not, wait on.
task<bool> waitForTurn(const caller_request &request, const endpoint_state &endpoint, instant turn)
{
    const instant changedAt = endpoint.noticeChangedAt;
    for (instant now = bootNow(); now < turn; now = bootNow()) {
        co_await sleepFor(std::min<duration>(turn - now, checkInterval));
        if (request.reply->gone() || endpoint.noticeChangedAt != changedAt || endpoint.pausedUntil > turn || endpoint.entry.draining) {
            co_return false;
        }
    }
    co_return endpoint.usable(bootNow());
}

}

turn_times::turn_times(const edge_context &context, instant now)
    : m_context(context)
    , m_now(now)
{
}

const turn_times::place_and_time &turn_times::findPlaceAndTime() const
{
    if (!m_placeAndTime) {
        m_placeAndTime = {.place = findPlace(m_context), .nowMs = static_cast<double>(m_context.correctedTimeMs())};
    }
    return *m_placeAndTime;
}

double turn_times::heldMs(const endpoint_state &endpoint) const
{
    const double pauseMs = std::max(0.0, toMs(endpoint.pausedUntil - m_now));
    if (!endpoint.limit) {
        return std::ceil(pauseMs);
    }
    const auto &[place, nowMs] = findPlaceAndTime();
    if (!place) {
        return std::ceil(std::max(pauseMs, noShareWaitMs));
    }
    const limit_share share{.perSecond = *endpoint.limit,
                            .daemons = place->daemons,
                            .rank = place->rank,
                            .offset = endpoint.hash,
                            .sinceMs = nowMs + toMs(endpoint.noticeChangedAt - m_now)};
    const double slotMs = nextFreeSlotMs(share, nowMs + toMs(endpoint.turnTakenAt - m_now), nowMs + pauseMs);
    return std::ceil(std::max(pauseMs, slotMs - nowMs));
}

bool takeTurnNow(const edge_context &context, endpoint_state &endpoint)
{
    const instant now = bootNow();
    if (turn_times(context, now).heldMs(endpoint) > 0) {
        return false;
    }
    if (endpoint.limit) {
        endpoint.turnTakenAt = now;
        endpoint.turnUsedAt = now;
    }
    endpoint.ejection.noteSent(now);
    return true;
}

task<bool> awaitTurn(edge_context &context, const caller_request &request, endpoint_ptr endpoint)
{
    const instant now = bootNow();
    const instant turn = now + std::chrono::milliseconds(std::llround(turn_times(context, now).heldMs(*endpoint)));
    const bool waits = turn > now;
    if (waits && turn >= request.deadline) {
        co_return false;
    }
    if (endpoint->limit) {
        endpoint->turnTakenAt = turn;
    }
    if (waits) {
        context.counters.count(metric_counter::RequestsHeld);
        if (!co_await waitForTurn(request, *endpoint, turn)) {
            co_return false;
        }
    }
    if (endpoint->limit) {
        endpoint->turnUsedAt = turn;
    }
    if (endpoint->ejection.noteSent(bootNow())) {
        context.counters.count(metric_counter::EndpointTrials);
    }
    co_return true;
}

}
