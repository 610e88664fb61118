#include "coordination/roster_keeper.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

bool cell_roster::contains(std::string_view member) const
{
    return std::ranges::find(members, member) != members.end();
}

roster_keeper::roster_keeper(const std::string &cell, std::string instanceId)
    : m_key("roster/" + cell)
    , m_instanceId(std::move(instanceId))
{
}

void roster_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (std::holds_alternative<tick_event>(event)) {
        onTick(now, out);
    } else if (const auto *read = std::get_if<row_read_event>(&event)) {
        onRead(*read, now, out);
    } else if (const auto *commit = std::get_if<commit_event>(&event); commit != nullptr && m_pendingOp == commit->op) {
        // The row is read again whatever the outcome: its version shows whether a commit with unknown outcome took effect.
        m_pendingOp.reset();
        sendRead(now, out);
    }
}

void roster_keeper::setGrant(std::optional<lease_grant> grant)
{
    m_grant = grant;
}

void roster_keeper::noteHeartbeat(std::string_view instanceId, instant now)
{
    m_lastHeartbeat[std::string(instanceId)] = now;
}

void roster_keeper::noteRosterVersion(std::string_view instanceId, std::uint64_t version)
{
    m_versions[std::string(instanceId)] = version;
    if (version > m_roster.version) {
        m_nextReadAt = instant(); // A peer holds a newer version, and the next change may wait until this daemon holds it too.
    }
}

void roster_keeper::setInstances(std::vector<instance_info> instances)
{
    m_instances = std::move(instances);
    std::ranges::sort(m_instances, {}, &instance_info::id);
}

const cell_roster &roster_keeper::roster() const
{
    return m_roster;
}

void roster_keeper::noteHeartbeatAnswered(std::string_view instanceId, instant sentAt)
{
    auto &last = m_answeredHeartbeatSentAt[std::string(instanceId)];
    last = std::max(last, sentAt);
}

std::optional<instant> roster_keeper::allAnsweredSince() const
{
    instant earliest = instant::max();
    for (const auto &member : m_roster.members) {
        const auto answered = m_answeredHeartbeatSentAt.find(member);
        if (member == m_instanceId) {
            continue;
        }
        if (answered == m_answeredHeartbeatSentAt.end()) {
            return std::nullopt;
        }
        earliest = std::min(earliest, answered->second);
    }
    return earliest;
}

std::vector<std::string> roster_keeper::liveMembers(instant now) const
{
    std::vector<std::string> recent;
    std::ranges::copy_if(m_roster.members, std::back_inserter(recent), [&](const std::string &member) {
        const auto lastHeartbeat = m_lastHeartbeat.find(member);
        return member == m_instanceId || (lastHeartbeat != m_lastHeartbeat.end() && now - lastHeartbeat->second <= tunables::pollerTimeout);
    });
    return recent;
}

void roster_keeper::onTick(instant now, std::vector<control_effect> &out)
{
    if (!m_pendingOp && now >= m_nextReadAt) {
        sendRead(now, out);
    }
}

void roster_keeper::sendRead(instant now, std::vector<control_effect> &out)
{
    m_pendingOp = m_nextOp++;
    m_nextReadAt = now + tunables::rosterReadInterval;
    out.emplace_back(read_row_effect{.op = *m_pendingOp, .key = m_key});
}

void roster_keeper::onRead(const row_read_event &event, instant now, std::vector<control_effect> &out)
{
    if (m_pendingOp != event.op) {
        return;
    }
    m_pendingOp.reset();
    if (!event.result.ok()) {
        return;
    }
    applyRow(*event.result);
    if (m_grant && now < m_grant->validUntil && majorityHoldsCurrentVersion(now)) {
        commitNextChange(now, out);
    }
}

void roster_keeper::applyRow(const std::optional<row> &found)
{
    m_rowVersion = found ? found->version : 0;
    if (!found) {
        return;
    }
    const auto json = nlohmann::json::parse(found->value, nullptr, false);
    if (!json.is_object() || json.value("version", std::uint64_t{0}) <= m_roster.version) {
        return;
    }
    m_roster.version = json.value("version", std::uint64_t{0});
    m_roster.members = json.value("members", std::vector<std::string>{});
    m_roster.domains = json.value("domains", std::map<std::string, std::string>{});
}

// Majorities of two roster versions are certain to intersect only if the versions differ by one change. The next change therefore waits
// until a majority of the current roster is known to hold the current version. A timeout must not replace this wait: in a partition, the
// side that reaches the store could then shrink the roster to itself while the other side still admits requests by an older majority.
// Members that the platform's list no longer contains have ended. They cannot admit requests and are not counted.
bool roster_keeper::majorityHoldsCurrentVersion(instant now) const
{
    std::size_t runningMembers = 0;
    std::size_t upToDateMembers = 0;
    for (const auto &member : m_roster.members) {
        if (hasEnded(member)) {
            continue;
        }
        ++runningMembers;
        upToDateMembers += holdsCurrentVersion(member, now) ? 1 : 0;
    }
    return runningMembers == 0 || upToDateMembers >= runningMembers / 2 + 1;
}

bool roster_keeper::holdsCurrentVersion(const std::string &member, instant now) const
{
    if (member == m_instanceId) {
        return true;
    }
    const auto lastHeartbeat = m_lastHeartbeat.find(member);
    const auto version = m_versions.find(member);
    return lastHeartbeat != m_lastHeartbeat.end() && now - lastHeartbeat->second <= tunables::peerHeartbeatTimeout && version != m_versions.end()
        && version->second >= m_roster.version;
}

// A list without this daemon was made before it started and says nothing about other daemons.
bool roster_keeper::hasEnded(const std::string &member) const
{
    return find(m_instanceId) != nullptr && find(member) == nullptr;
}

bool roster_keeper::mustBeRemoved(const std::string &member, instant now) const
{
    if (member == m_instanceId) {
        return false;
    }
    if (hasEnded(member)) {
        return true;
    }
    // A new lease holder may not have received heartbeats before, so the timeout starts no earlier than when it acquired the lease.
    const auto lastHeartbeat = m_lastHeartbeat.find(member);
    const instant last = lastHeartbeat == m_lastHeartbeat.end() ? m_grant->acquiredAt : std::max(lastHeartbeat->second, m_grant->acquiredAt);
    return now - last > tunables::memberTimeout;
}

bool roster_keeper::mayJoin(const instance_info &candidate, instant now) const
{
    if (m_roster.contains(candidate.id) || candidate.leaving) {
        return false;
    }
    const auto lastHeartbeat = m_lastHeartbeat.find(candidate.id);
    return candidate.id == m_instanceId || (lastHeartbeat != m_lastHeartbeat.end() && now - lastHeartbeat->second <= tunables::peerHeartbeatTimeout);
}

const instance_info *roster_keeper::find(std::string_view instanceId) const
{
    const auto found = std::ranges::find(m_instances, instanceId, &instance_info::id);
    return found == m_instances.end() ? nullptr : &*found;
}

// Commits the next change of one member. Removals come first: a failed member makes majorities harder to reach, while a daemon that is not
// a member yet only cannot admit requests.
void roster_keeper::commitNextChange(instant now, std::vector<control_effect> &out)
{
    cell_roster next = m_roster;
    const auto removed = std::ranges::find_if(next.members, [&](const std::string &member) {
        return mustBeRemoved(member, now);
    });
    const auto added = std::ranges::find_if(m_instances, [&](const instance_info &candidate) {
        return mayJoin(candidate, now);
    });
    if (removed != next.members.end()) {
        next.domains.erase(*removed);
        next.members.erase(removed);
    } else if (added != m_instances.end()) {
        next.domains[added->id] = added->failureDomain;
        next.members.push_back(added->id);
        std::ranges::sort(next.members);
    } else {
        return;
    }
    const nlohmann::json value = {{"version", m_roster.version + 1}, {"members", next.members}, {"domains", next.domains}, {"epoch", m_grant->epoch}};
    m_pendingOp = m_nextOp++;
    out.emplace_back(commit_effect{
        .op = *m_pendingOp,
        .change = {.conditions = {{.key = m_key, .version = m_rowVersion}}, .writes = {{.key = m_key, .value = value.dump()}}},
    });
}

}
