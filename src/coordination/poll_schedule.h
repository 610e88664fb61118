#pragma once

#include "transport/core_time.h"

#include <map>
#include <optional>
#include <string>

namespace lacewinglock
{

/// Decides which endpoints this daemon polls, and when. The first daemon in an endpoint's rendezvous order polls it. After the order changes, the
/// previous poller continues until it receives a recent report from another daemon, so that the polling has no gap.
class poll_schedule
{
public:
    /// Records that another daemon polled the endpoint at `takenAt`.
    void noteOtherPoll(const std::string &endpointId, instant takenAt);

    /// Returns whether to poll the endpoint now, and if so schedules its next poll. `isFirst`: whether this daemon is the first in the endpoint's
    /// rendezvous order.
    bool start(const std::string &endpointId, bool isFirst, instant now);

    /// Whether this daemon polls the endpoint, and so forwards its reports to its peers.
    bool isPolling(const std::string &endpointId) const;

private:
    struct poll_state
    {
        bool polling = false;
        instant nextPollAt;
        std::optional<instant> otherPolledAt; ///< Latest poll by another daemon that this daemon received a report of.
    };

    std::map<std::string, poll_state> m_states;
};

}
