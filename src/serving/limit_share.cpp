#include "serving/limit_share.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr double minPerSecond = 0.1; // An endpoint that gets no requests could not tell that its limit has ended.
constexpr double maxPerSecond = 1e6; // Keeps the numbers of slots within 64 bits.
constexpr double stepsPerOctave = 8;
constexpr double stepTolerance = 1e-6; // A rounded limit stays the same when it is rounded again.
constexpr double slotLifetimeMs = 1000; // A slot that no request has taken for this long is lost. Bounds the burst after an idle time.

double slotMs(const limit_share &share)
{
    return 1000 / share.perSecond;
}

// Start of the first slot of this daemon after `afterMs`.
double nextSlotMs(const limit_share &share, double afterMs)
{
    const double length = slotMs(share);
    const auto daemons = static_cast<std::int64_t>(share.daemons);
    const auto first = static_cast<std::int64_t>(std::floor(afterMs / length)) + 1;
    const auto owner = (first + static_cast<std::int64_t>(share.offset % share.daemons)) % daemons;
    const auto ahead = (static_cast<std::int64_t>(share.rank) - owner + daemons) % daemons;
    return static_cast<double>(first + ahead) * length;
}

}

double roundLimit(double perSecond)
{
    const double steps = std::log2(std::clamp(perSecond, minPerSecond, maxPerSecond)) * stepsPerOctave;
    return std::exp2(std::floor(steps + stepTolerance) / stepsPerOctave);
}

double nextFreeSlotMs(const limit_share &share, double usedMs, double nowMs)
{
    // The clocks of the daemons are corrected all the time. Without a margin, a slot that has been taken could come again.
    const double margin = slotMs(share) * static_cast<double>(share.daemons) / 2;
    return nextSlotMs(share, std::max({usedMs + margin, nowMs - slotLifetimeMs, share.sinceMs}));
}

}
