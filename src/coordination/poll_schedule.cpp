#include "coordination/poll_schedule.h"

#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

void poll_schedule::noteOther(const std::string &endpointId, instant takenAt)
{
    auto &known = m_turns[endpointId];
    known.otherAt = std::max(known.otherAt.value_or(takenAt), takenAt);
}

bool poll_schedule::start(const std::string &endpointId, bool first, instant now)
{
    auto &known = m_turns[endpointId];
    const bool covered = known.otherAt && now - *known.otherAt <= tunables::pollerSilenceLimit;
    known.polling = first || (known.polling && !covered);
    if (!known.polling || now < known.nextAt) {
        return false;
    }
    known.nextAt = now + tunables::loadPollInterval;
    return true;
}

bool poll_schedule::polls(const std::string &endpointId) const
{
    const auto known = m_turns.find(endpointId);
    return known != m_turns.end() && known->second.polling;
}

}
