#pragma once

#include "transport/core_time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// What the recent hedges of a service allow.
struct hedge_allowance
{
    double credit = 0; ///< Hedges that the ratio allows now.
    int results = 0; ///< Known results of the last hedges, at most hedge_budget::resultWindow.
    int won = 0; ///< Of those, the ones that answered first.
    double sinceLastMs = 0; ///< Time since the last hedge was sent.

    bool operator==(const hedge_allowance &) const = default;
};

/// Limits the hedges of this daemon to a ratio of its requests, for each service, and remembers how many of the last ones won.
///
/// Each request adds the ratio to a credit and each hedge takes 1. Unlike a count over a window, the credit also serves daemons that see few requests: one
/// with 2 requests a second and a ratio of 0.02 may send a hedge every 25 s.
class hedge_budget
{
public:
    static constexpr std::size_t resultWindow = 50;
    /// Bounds the hedges in a row after a quiet time, of each daemon. An endpoint that becomes slow holds a few requests of each daemon.
    static constexpr double maxCredit = 4;
    static constexpr std::size_t maxServices = 256; ///< The one that was used least recently is dropped.

    /// Counts a request. `ratio` is the setting `hedge_ratio`.
    void noteRequest(std::string_view service, double ratio, instant now);
    /// Takes a hedge that is sent from the credit.
    void noteSent(std::string_view service, instant now);
    void noteResult(std::string_view service, bool won);
    hedge_allowance allowance(std::string_view service, instant now) const;

    std::size_t services() const;

private:
    struct service_state
    {
        double credit = 0;
        std::deque<bool> results; ///< Whether each hedge won; the newest at the back.
        instant sentAt;
        instant usedAt;
    };

    std::map<std::string, service_state, std::less<>> m_services;
};

}
