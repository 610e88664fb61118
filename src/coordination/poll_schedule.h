#pragma once

#include "transport/core_time.h"

#include <map>
#include <optional>
#include <string>

namespace lacewinglock
{

/// Which endpoints this daemon polls, and when. The first daemon in the rendezvous order polls; the one that polled before goes on until it has
/// heard of a recent poll of another, so that a change of the order leaves no gap.
class poll_schedule
{
public:
    /// Another daemon polled the endpoint at `takenAt`.
    void noteOther(const std::string &endpointId, instant takenAt);

    /// Whether a poll of the endpoint starts now. `first`: this daemon is the first in the rendezvous order.
    bool start(const std::string &endpointId, bool first, instant now);

    /// Whether this daemon polls the endpoint, and so passes its reports on.
    bool polls(const std::string &endpointId) const;

private:
    struct turn
    {
        bool polling = false;
        instant nextAt;
        std::optional<instant> otherAt;
    };

    std::map<std::string, turn> m_turns;
};

}
