#include "serving/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

// Half, because any window of the given length can overlap two windows of this daemon, and a change in the number of daemons is noticed late.
constexpr double usedFraction = 0.5;

void dropBefore(std::deque<instant> &times, instant start)
{
    while (!times.empty() && times.front() < start) {
        times.pop_front();
    }
}

}

retry_budget::retry_budget(retry_limits limits)
    : m_limits(limits)
{
}

retry_budget::usage &retry_budget::currentUsage(std::string_view service, instant now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        found = m_services.emplace(std::string(service), usage{}).first;
    }
    dropBefore(found->second.requests, now - m_limits.window);
    dropBefore(found->second.extraAttempts, now - m_limits.window);
    return found->second;
}

void retry_budget::noteRequest(std::string_view service, instant now)
{
    currentUsage(service, now).requests.push_back(now);
}

bool retry_budget::tryAcquire(std::string_view service, std::size_t daemons, instant now)
{
    const auto [used, allowed] = room(service, daemons, now);
    if (used + 1 > allowed) {
        return false;
    }
    currentUsage(service, now).extraAttempts.push_back(now);
    return true;
}

retry_room retry_budget::room(std::string_view service, std::size_t daemons, instant now)
{
    const auto &counts = currentUsage(service, now);
    const double share = std::floor(m_limits.slack * usedFraction / static_cast<double>(std::max<std::size_t>(daemons, 1)));
    const double allowed = share + std::floor(m_limits.ratio * usedFraction * static_cast<double>(counts.requests.size()));
    return {.used = static_cast<double>(counts.extraAttempts.size()), .allowed = allowed};
}

}
