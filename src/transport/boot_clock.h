#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

namespace lacewinglock
{

/// Monotonic time that also advances while the machine is suspended, so that leases and reports age during a suspension.
instant bootNow();

/// System clock in milliseconds since the Unix epoch. It may be wrong and may jump.
std::int64_t wallMs();

/// Suspends the calling coroutine for `time`. Returns false when the timer was cancelled.
task<bool> sleepFor(duration time);

}
