#include "serving/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

// Half: a sliding window can hold the end of one of ours and the start of the next, and daemons learn of each other late.
constexpr double usedPart = 0.5;

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

retry_budget::usage &retry_budget::current(std::string_view service, instant now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        found = m_services.emplace(std::string(service), usage{}).first;
    }
    dropBefore(found->second.requests, now - m_limits.window);
    dropBefore(found->second.extras, now - m_limits.window);
    return found->second;
}

void retry_budget::noteRequest(std::string_view service, instant now)
{
    current(service, now).requests.push_back(now);
}

bool retry_budget::tryExtra(std::string_view service, std::size_t daemons, instant now)
{
    auto &counts = current(service, now);
    const double share = std::floor(m_limits.slack * usedPart / static_cast<double>(std::max<std::size_t>(daemons, 1)));
    const double allowed = share + std::floor(m_limits.ratio * usedPart * static_cast<double>(counts.requests.size()));
    if (static_cast<double>(counts.extras.size()) + 1 > allowed) {
        return false;
    }
    counts.extras.push_back(now);
    return true;
}

}
