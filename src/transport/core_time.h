#pragma once

#include <chrono>
#include <cstdint>

namespace lacewinglock
{

/// Clock of the deterministic core. It has no now(): daemons pass monotonic time, scenarios pass virtual time.
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

/// Length of a duration in milliseconds, for logs and scores.
constexpr double toMs(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// The duration of so many milliseconds.
constexpr duration fromMs(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

}
