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
    const limit_share share{.perSecond = *endpoint.limit, .daemons = place->daemons, .rank = place->rank, .offset = endpoint.hash};
    const double slotMs = nextFreeSlotMs(share, nowMs + toMs(endpoint.turnTakenAt - m_now), nowMs + pauseMs);
    return std::ceil(std::max(pauseMs, slotMs - nowMs));
}

task<bool> awaitTurn(edge_context &context, const caller_request &request, endpoint_ptr endpoint)
{
    const instant now = bootNow();
    const auto limit = endpoint->limit;
    const auto wait = std::chrono::milliseconds(std::llround(turn_times(context, now).heldMs(*endpoint)));
    if (wait > duration::zero() && now + wait >= request.deadline) {
        co_return false;
    }
    if (limit) {
        endpoint->turnTakenAt = now + wait;
    }
    if (wait <= duration::zero()) {
        co_return true;
    }
    context.counters.count(metric_counter::RequestsHeld);
    co_await sleepFor(wait);
    const bool limitChanged = endpoint->limit && endpoint->limit != limit;
    co_return !request.reply->gone() && !limitChanged && endpoint->usable(bootNow()) && bootNow() >= endpoint->pausedUntil;
}

}
