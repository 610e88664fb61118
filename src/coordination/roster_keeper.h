#pragma once

#include "protocol/control.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Members of a cell as stored in the roster row. Majorities are majorities of these members.
struct cell_roster
{
    std::uint64_t version = 0; ///< 0 until the row has been read.
    std::vector<std::string> members; ///< Sorted.
    std::map<std::string, std::string> domains; ///< Failure domain of each member.

    bool contains(std::string_view member) const;
};

/// Reads the roster row and, while this daemon holds the lease `roster`, updates the row to match the live daemons (docs/design.md,
/// section 8).
class roster_keeper
{
public:
    roster_keeper(const std::string &cell, std::string instanceId);

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);
    void setGrant(std::optional<lease_grant> grant);

    /// Records that a heartbeat from the instance was received at `now`.
    void noteHeartbeat(std::string_view instanceId, instant now);
    /// Records the roster version that the instance reported in a heartbeat.
    void noteRosterVersion(std::string_view instanceId, std::uint64_t version);
    /// Sets the platform's instance list, which lags behind. A list without this daemon is too old to remove members by.
    void setInstances(std::vector<instance_info> instances);

    const cell_roster &roster() const;

    /// Returns this daemon and the members whose last heartbeat is recent. They divide the polling of endpoints among them, so that a failed
    /// member's endpoints are polled by others before it is removed from the roster.
    std::vector<std::string> liveMembers(instant now) const;

    /// Records that the instance answered a heartbeat that was sent at `sentAt`.
    void noteHeartbeatAnswered(std::string_view instanceId, instant sentAt);
    /// Returns the latest time for which every other member has answered a heartbeat sent then or later. Returns nothing if some member has
    /// never answered one.
    std::optional<instant> allAnsweredSince() const;

private:
    void onTick(instant now, std::vector<control_effect> &out);
    void onRead(const row_read_event &event, instant now, std::vector<control_effect> &out);
    void sendRead(instant now, std::vector<control_effect> &out);
    void applyRow(const std::optional<row> &found);
    void commitNextChange(instant now, std::vector<control_effect> &out);
    bool majorityHoldsCurrentVersion(instant now) const;
    bool holdsCurrentVersion(const std::string &member, instant now) const;
    bool hasEnded(const std::string &member) const;
    bool mustBeRemoved(const std::string &member, instant now) const;
    bool mayJoin(const instance_info &candidate, instant now) const;
    const instance_info *find(std::string_view instanceId) const;

    std::string m_key;
    std::string m_instanceId;
    std::optional<lease_grant> m_grant;
    cell_roster m_roster;
    std::uint64_t m_rowVersion = 0;
    std::vector<instance_info> m_instances;
    std::map<std::string, instant, std::less<>> m_lastHeartbeat;
    std::map<std::string, std::uint64_t, std::less<>> m_versions;
    std::map<std::string, instant, std::less<>> m_answeredHeartbeatSentAt; ///< Send time of the last heartbeat that the instance answered.
    op_id m_nextOp = 1;
    std::optional<op_id> m_pendingOp;
    instant m_nextReadAt;
};

}
