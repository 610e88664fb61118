#include "serving/store_backoff.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto firstPause = std::chrono::milliseconds(150); // A single lost answer is repeated soon.
constexpr auto maxProbedPause = std::chrono::milliseconds(600); // With an answer and its relaying, all daemons know of the store's return within a second.
constexpr auto maxRelayedPause = std::chrono::milliseconds(2400); // Half of the time for which keys stay valid without a call (5 s).
constexpr int maxDoublings = 8;

}

duration storeRetryPause(int failures, store_recovery recovery, double jitter)
{
    const duration longest = recovery == store_recovery::Probed ? maxProbedPause : maxRelayedPause;
    const auto doublings = std::clamp(failures - 1, 0, maxDoublings);
    const duration pause = std::min<duration>(firstPause * (1 << doublings), longest);
    return std::chrono::duration_cast<duration>(pause * (1 - jitter / 2));
}

void store_backoff::noteSuccess()
{
    m_failures = 0;
    m_dueAt = instant{};
}

duration store_backoff::noteFailure(store_recovery recovery, double jitter, instant now)
{
    const duration pause = storeRetryPause(++m_failures, recovery, jitter);
    m_dueAt = now + pause;
    return pause;
}

bool store_backoff::isDue(instant now) const
{
    return now >= m_dueAt;
}

}
