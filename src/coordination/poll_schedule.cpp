#include "coordination/poll_schedule.h"

#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

void poll_schedule::noteOtherPoll(const std::string &endpointId, instant takenAt)
{
    auto &state = m_states[endpointId];
    state.otherPolledAt = std::max(state.otherPolledAt.value_or(takenAt), takenAt);
}

bool poll_schedule::start(const std::string &endpointId, bool isFirst, instant now)
{
    auto &state = m_states[endpointId];
    const bool polledByOther = state.otherPolledAt && now - *state.otherPolledAt <= tunables::pollerTimeout;
    state.polling = isFirst || (state.polling && !polledByOther);
    if (!state.polling || now < state.nextPollAt) {
        return false;
    }
    state.nextPollAt = now + tunables::loadPollInterval;
    return true;
}

bool poll_schedule::isPolling(const std::string &endpointId) const
{
    const auto state = m_states.find(endpointId);
    return state != m_states.end() && state->second.polling;
}

}
