#pragma once

#include "transport/core_time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Bounds set by the deployment on extra sendings of a service, over all daemons together.
struct retry_limits
{
    double ratio = 0.2; ///< Extra sendings for each request.
    double slack = 50; ///< Extra sendings that are always allowed.
    duration window = std::chrono::seconds(10);
};

/// Counts what this daemon sends beyond the first sending of each request, by service, in a sliding window.
///
/// Load it answers: a broken service whose failures would multiply its own arrivals. The slack is divided by the number of daemons, rounded
/// down, and only half of the ratio and of the share is used, because windows slide and a daemon may join or leave within one.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits);

    void noteRequest(std::string_view service, instant now);
    /// Takes one extra sending out of the budget if it allows one.
    bool tryExtra(std::string_view service, std::size_t daemons, instant now);

private:
    struct usage
    {
        std::deque<instant> requests;
        std::deque<instant> extras;
    };

    usage &current(std::string_view service, instant now);

    retry_limits m_limits;
    std::map<std::string, usage, std::less<>> m_services;
};

}
