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
        // Whatever the outcome, the row says what holds; an unknown commit is resolved by its version.
        m_pendingOp.reset();
        sendRead(now, out);
    }
}

void roster_keeper::setGrant(std::optional<lease_grant> grant)
{
    m_grant = grant;
}

void roster_keeper::noteHeard(std::string_view instanceId, instant now)
{
    m_heard[std::string(instanceId)] = now;
}

void roster_keeper::noteVersion(std::string_view instanceId, std::uint64_t version)
{
    m_versions[std::string(instanceId)] = version;
    if (version > m_roster.version) {
        m_nextReadAt = instant(); // A peer has seen a newer row; the next step waits for this daemon too.
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

void roster_keeper::noteAnswered(std::string_view instanceId, instant sentAt)
{
    auto &last = m_answered[std::string(instanceId)];
    last = std::max(last, sentAt);
}

std::optional<instant> roster_keeper::allAnsweredSince() const
{
    instant earliest = instant::max();
    for (const auto &member : m_roster.members) {
        const auto answered = m_answered.find(member);
        if (member == m_instanceId) {
            continue;
        }
        if (answered == m_answered.end()) {
            return std::nullopt;
        }
        earliest = std::min(earliest, answered->second);
    }
    return earliest;
}

std::vector<std::string> roster_keeper::recentMembers(instant now) const
{
    std::vector<std::string> recent;
    std::ranges::copy_if(m_roster.members, std::back_inserter(recent), [&](const std::string &member) {
        const auto heard = m_heard.find(member);
        return member == m_instanceId || (heard != m_heard.end() && now - heard->second <= tunables::pollerSilenceLimit);
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
    takeRow(*event.result);
    if (m_grant && now < m_grant->validUntil && membersCaughtUp(now)) {
        proposeStep(now, out);
    }
}

void roster_keeper::takeRow(const std::optional<row> &seen)
{
    m_rowVersion = seen ? seen->version : 0;
    if (!seen) {
        return;
    }
    const auto json = nlohmann::json::parse(seen->value, nullptr, false);
    if (!json.is_object() || json.value("version", std::uint64_t{0}) <= m_roster.version) {
        return;
    }
    m_roster.version = json.value("version", std::uint64_t{0});
    m_roster.members = json.value("members", std::vector<std::string>{});
    m_roster.domains = json.value("domains", std::map<std::string, std::string>{});
}

// Majorities of two roster versions intersect for certain only when the versions are one step apart. So the next step waits until a
// majority of the current roster is known to hold it. A timeout must not replace this: in a partition, the side that reaches the
// store could otherwise shrink the roster to itself while the other side admits by an older majority. A member that the platform's
// list no longer shows has ended, so it cannot admit anything and is not needed.
bool roster_keeper::membersCaughtUp(instant now) const
{
    std::size_t needed = 0;
    std::size_t holding = 0;
    for (const auto &member : m_roster.members) {
        if (hasEnded(member)) {
            continue;
        }
        ++needed;
        holding += holdsCurrentVersion(member, now) ? 1 : 0;
    }
    return needed == 0 || holding >= needed / 2 + 1;
}

bool roster_keeper::holdsCurrentVersion(const std::string &member, instant now) const
{
    if (member == m_instanceId) {
        return true;
    }
    const auto heard = m_heard.find(member);
    const auto version = m_versions.find(member);
    return heard != m_heard.end() && now - heard->second <= tunables::candidateHeardLimit && version != m_versions.end() && version->second >= m_roster.version;
}

// A list without this daemon is from before its start and proves nothing about others.
bool roster_keeper::hasEnded(const std::string &member) const
{
    return find(m_instanceId) != nullptr && find(member) == nullptr;
}

bool roster_keeper::mustLeave(const std::string &member, instant now) const
{
    if (member == m_instanceId) {
        return false;
    }
    if (hasEnded(member)) {
        return true;
    }
    // A new holder has not listened for long, so silence counts from when it got the lease at the earliest.
    const auto heard = m_heard.find(member);
    const instant last = heard == m_heard.end() ? m_grant->acquiredAt : std::max(heard->second, m_grant->acquiredAt);
    return now - last > tunables::memberSilenceLimit;
}

bool roster_keeper::mayJoin(const instance_info &candidate, instant now) const
{
    if (m_roster.contains(candidate.id) || candidate.leaving) {
        return false;
    }
    const auto heard = m_heard.find(candidate.id);
    return candidate.id == m_instanceId || (heard != m_heard.end() && now - heard->second <= tunables::candidateHeardLimit);
}

const instance_info *roster_keeper::find(std::string_view instanceId) const
{
    const auto found = std::ranges::find(m_instances, instanceId, &instance_info::id);
    return found == m_instances.end() ? nullptr : &*found;
}

// Removals come first: a dead member makes majorities harder to reach, a missing one only admits nothing yet.
void roster_keeper::proposeStep(instant now, std::vector<control_effect> &out)
{
    cell_roster next = m_roster;
    const auto leaver = std::ranges::find_if(next.members, [&](const std::string &member) {
        return mustLeave(member, now);
    });
    const auto joiner = std::ranges::find_if(m_instances, [&](const instance_info &candidate) {
        return mayJoin(candidate, now);
    });
    if (leaver != next.members.end()) {
        next.domains.erase(*leaver);
        next.members.erase(leaver);
    } else if (joiner != m_instances.end()) {
        next.domains[joiner->id] = joiner->failureDomain;
        next.members.push_back(joiner->id);
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
