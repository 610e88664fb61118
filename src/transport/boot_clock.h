#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

namespace lacewinglock
{

/// Monotonic time that also counts while the machine is suspended, so that a lease or a piece of evidence ages during a freeze.
instant bootNow();

/// Milliseconds since the Unix epoch by this machine's clock, which may be wrong and may jump.
std::int64_t wallMs();

/// Suspends the calling coroutine. False when the timer was cancelled.
task<bool> sleepFor(duration time);

}
