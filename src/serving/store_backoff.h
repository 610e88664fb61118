#pragma once

#include "transport/core_time.h"

namespace lacewinglock
{

/// How this daemon hears that the store answers again.
enum class store_recovery {
    Probed, ///< By its own calls. Relays for other daemons probe, and so does a daemon that has no relay.
    Relayed ///< A relay probes the store for it; own calls only find out that the relays alone are cut off.
};

/// Pause after the `failures`-th failed call to the store in a row (1 for the first).
///
/// Designed for a store that is busy or away for seconds: daemons that all retry at a fixed interval would multiply its load when it can least bear it.
/// The pause doubles from 150 ms up to 600 ms for a daemon that probes, which is the interval of its calls in calm times, and up to 2.4 s for one with
/// relays. `jitter`, uniform in [0, 1), shortens it by up to half, so that daemons do not call at the same time.
duration storeRetryPause(int failures, store_recovery recovery, double jitter);

/// Failed calls to the store in a row, and when the next one is due.
class store_backoff
{
public:
    void noteSuccess();
    /// Returns the pause before the next call.
    duration noteFailure(store_recovery recovery, double jitter, instant now);
    /// Whether the next call may be made.
    bool isDue(instant now) const;

private:
    int m_failures = 0;
    instant m_dueAt;
};

}
