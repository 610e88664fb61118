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

/// The members of a cell as the roster row states them. Majorities are counted against it.
struct cell_roster
{
    std::uint64_t version = 0; ///< 0 until the row was read once.
    std::vector<std::string> members; ///< Sorted.
    std::map<std::string, std::string> domains; ///< Failure domain of each member.

    bool contains(std::string_view member) const;
};

/// Reads the roster row and, while it holds the duty `roster`, keeps the row in line with the live daemons (docs/design.md, section 8).
class roster_keeper
{
public:
    roster_keeper(const std::string &cell, std::string instanceId);

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);
    void setGrant(std::optional<lease_grant> grant);

    /// A heartbeat of the instance arrived.
    void noteHeard(std::string_view instanceId, instant now);
    /// The roster version that the instance holds, from its heartbeat.
    void noteVersion(std::string_view instanceId, std::uint64_t version);
    /// The platform's list, which lags. A list without this daemon is too old to remove members by.
    void setInstances(std::vector<instance_info> instances);

    const cell_roster &roster() const;

    /// Members heard lately, this daemon included. They share the polling of endpoints, so that a dead member leaves none unpolled until it
    /// is dropped from the roster.
    std::vector<std::string> recentMembers(instant now) const;

    /// The instance answered a heartbeat that was sent at `sentAt`.
    void noteAnswered(std::string_view instanceId, instant sentAt);
    /// Every member of the roster has answered a heartbeat sent at this time or later; nothing when some member never answered.
    std::optional<instant> allAnsweredSince() const;

private:
    void onTick(instant now, std::vector<control_effect> &out);
    void onRead(const row_read_event &event, instant now, std::vector<control_effect> &out);
    void sendRead(instant now, std::vector<control_effect> &out);
    void takeRow(const std::optional<row> &seen);
    void proposeStep(instant now, std::vector<control_effect> &out);
    bool membersCaughtUp(instant now) const;
    bool holdsCurrentVersion(const std::string &member, instant now) const;
    bool hasEnded(const std::string &member) const;
    bool mustLeave(const std::string &member, instant now) const;
    bool mayJoin(const instance_info &candidate, instant now) const;
    const instance_info *find(std::string_view instanceId) const;

    std::string m_key;
    std::string m_instanceId;
    std::optional<lease_grant> m_grant;
    cell_roster m_roster;
    std::uint64_t m_rowVersion = 0;
    std::vector<instance_info> m_instances;
    std::map<std::string, instant, std::less<>> m_heard;
    std::map<std::string, std::uint64_t, std::less<>> m_versions;
    std::map<std::string, instant, std::less<>> m_answered; ///< When the last answered heartbeat to an instance was sent.
    op_id m_nextOp = 1;
    std::optional<op_id> m_pendingOp;
    instant m_nextReadAt;
};

}
