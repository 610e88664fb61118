#pragma once

#include "transport/core_time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Limits on the extra attempts (retries) for one service, over all daemons together.
struct retry_limits
{
    double ratio = 0.2; ///< Extra attempts allowed per request.
    double slack = 50; ///< Extra attempts allowed in each window in addition, whatever the number of requests.
    duration window = std::chrono::seconds(10); ///< Length of the sliding window.
};

/// Use of a retry budget in the current window.
struct retry_room
{
    double used = 0; ///< Extra attempts.
    double allowed = 0; ///< Extra attempts that are allowed altogether.

    bool operator==(const retry_room &) const = default;
};

/// Retry budget of this daemon: limits, for each service, the attempts beyond the first of each request in a sliding window.
///
/// It protects a failing service against retries that would multiply its load. The slack is divided by the number of daemons and rounded down.
/// Only half of the ratio and of the slack is used, because the windows slide and a daemon may join or leave within one.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits);

    /// Counts a request, whose first attempt is always allowed.
    void noteRequest(std::string_view service, instant now);
    /// Takes one extra attempt from the budget. Returns false if none is left. `daemons` is the number of serving daemons.
    bool tryAcquire(std::string_view service, std::size_t daemons, instant now);
    /// How much of the budget is used.
    retry_room room(std::string_view service, std::size_t daemons, instant now);

private:
    struct usage
    {
        std::deque<instant> requests;
        std::deque<instant> extraAttempts;
    };

    usage &currentUsage(std::string_view service, instant now);

    retry_limits m_limits;
    std::map<std::string, usage, std::less<>> m_services;
};

}
