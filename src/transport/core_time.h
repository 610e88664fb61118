#pragma once

#include <chrono>
#include <cstdint>

namespace lacewinglock
{

/// Clock type of the decision code. It has no now(), so that decisions are reproducible: daemons pass monotonic time in, scenarios virtual time.
struct core_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the standard clock interface.
};

using duration = core_clock::duration;
using instant = core_clock::time_point;

/// Converts a duration to milliseconds, for logs and scores.
constexpr double toMs(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Converts milliseconds to a duration, truncated to whole microseconds.
constexpr duration fromMs(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

}
