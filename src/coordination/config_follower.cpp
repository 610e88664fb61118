#include "coordination/config_follower.h"

#include "coordination/config_rows.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <glog/logging.h>

namespace lacewinglock
{

namespace
{

/// Concurrent reads of patch rows. Bounds the load on the table service when a daemon starts many versions behind.
constexpr std::size_t maxPatchReads = 32;
/// Patches kept for peers. A peer further behind gets the whole document.
constexpr std::size_t maxRecentUpdates = 64;
/// Received updates that cannot be applied yet because an earlier one is missing. Further ones are dropped.
constexpr std::size_t maxPendingUpdates = 1024;

/// Whether the answer to a request sent at `sentAt` still proves freshness.
bool withinFreshnessWindow(instant sentAt, instant now)
{
    return now - sentAt < tunables::freshnessWindow;
}

}

config_follower::config_follower(config_holder &holder)
    : m_holder(holder)
    , m_highestKnownVersion(holder.current()->parsed.version)
{
}

void config_follower::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *read = std::get_if<row_read_event>(&event)) {
        if (read->op == m_headOp && m_headOp != 0) {
            handleHeadRead(*read);
        } else if (const auto found = m_patchOps.find(read->op); found != m_patchOps.end()) {
            const std::uint64_t version = found->second;
            m_patchOps.erase(found);
            handlePatchRead(*read, version);
        }
    }
    const bool pollDue = !m_confirmedHeadRequestedAt || now - m_headRequestedAt >= tunables::configPollInterval;
    if (std::holds_alternative<tick_event>(event) && m_headOp == 0 && pollDue) {
        m_headOp = m_nextOp++;
        m_headRequestedAt = now;
        out.emplace_back(read_row_effect{.op = m_headOp, .key = configHeadKey});
    }
    applyPendingUpdates();
    requestMissingPatches(out);
    updateCaughtUp(now);
}

void config_follower::handleHeadRead(const row_read_event &event)
{
    m_headOp = 0;
    if (!event.result.ok()) {
        return;
    }
    const auto version = *event.result ? parseConfigHead((*event.result)->value) : absl::StatusOr<std::uint64_t>(0);
    if (!version.ok()) {
        LOG(ERROR) << version.status().message();
        return;
    }
    // Reads of the head row never overlap, so a lower version is stale data and does not prove freshness.
    if (*version < m_lastHeadVersion) {
        LOG(ERROR) << "read configuration [table service]: the head went back from version " << m_lastHeadVersion << " to " << *version
                   << "; the answer is ignored";
        return;
    }
    m_lastHeadVersion = *version;
    m_confirmedHeadRequestedAt = m_headRequestedAt;
    m_highestKnownVersion = std::max(m_highestKnownVersion, *version);
    m_patchFetchDue = true;
}

void config_follower::handlePatchRead(const row_read_event &event, std::uint64_t version)
{
    if (!event.result.ok() || !*event.result) {
        return;
    }
    auto content = parseConfigPatch(configPatchKey(version), (*event.result)->value);
    if (!content.ok()) {
        LOG(ERROR) << content.status().message();
        return;
    }
    m_pendingUpdates.emplace(version, config_update{.version = version, .body = std::move(content->patch)});
}

/// Reads missing patch rows after each read of the head row and after each installed version, so that a patch that cannot be installed is
/// not fetched in a tight loop. During an outage of the table service the updates come from peers.
void config_follower::requestMissingPatches(std::vector<control_effect> &out)
{
    if (!m_patchFetchDue || !m_patchOps.empty()) {
        return;
    }
    m_patchFetchDue = false;
    for (std::uint64_t version = heldVersion() + 1; version <= m_highestKnownVersion && m_patchOps.size() < maxPatchReads; ++version) {
        if (!m_pendingUpdates.contains(version)) {
            m_patchOps.emplace(m_nextOp, version);
            out.emplace_back(read_row_effect{.op = m_nextOp++, .key = configPatchKey(version)});
        }
    }
}

/// Applies all consecutive pending updates in one go, because validating the document costs more than merging many patches.
void config_follower::applyPendingUpdates()
{
    const auto current = m_holder.current();
    std::uint64_t version = current->parsed.version;
    m_pendingUpdates.erase(m_pendingUpdates.begin(), m_pendingUpdates.upper_bound(version));
    // 1. Start from the latest whole document among the pending updates, else from the installed document.
    nlohmann::json document;
    auto next = m_pendingUpdates.end();
    for (auto update = m_pendingUpdates.begin(); update != m_pendingUpdates.end(); ++update) {
        if (update->second.whole) {
            next = update;
        }
    }
    if (next != m_pendingUpdates.end()) {
        document = next->second.body;
        version = next->first;
        ++next;
        m_recentPatches.clear();
    } else {
        next = m_pendingUpdates.find(version + 1);
        if (next == m_pendingUpdates.end()) {
            return;
        }
        document = current->document.is_object() ? current->document : nlohmann::json::object();
    }
    // 2. Merge the patches that follow without a gap in the versions.
    for (; next != m_pendingUpdates.end() && next->first == version + 1; ++next) {
        document.merge_patch(next->second.body);
        version = next->first;
        m_recentPatches.push_back(next->second);
        if (m_recentPatches.size() > maxRecentUpdates) {
            m_recentPatches.pop_front();
        }
    }
    // 3. Validate and install the result.
    m_pendingUpdates.erase(m_pendingUpdates.begin(), next);
    install(std::move(document), version);
}

void config_follower::install(nlohmann::json document, std::uint64_t version)
{
    auto parsed = parseConfiguration(document, version);
    if (!parsed.ok()) {
        m_recentPatches.clear();
        LOG(ERROR) << "cannot install configuration version " << version << ": " << parsed.status().message();
        return;
    }
    const std::uint64_t before = heldVersion();
    m_holder.install({.parsed = *std::move(parsed), .document = std::move(document)});
    m_patchFetchDue = m_patchFetchDue || heldVersion() > before;
    checkInvariant(heldVersion() >= before && heldVersion() >= version, invariant::ConfigurationNeverReverts, "held version decreased or an update was lost");
}

void config_follower::updateCaughtUp(instant now)
{
    m_caughtUp = m_caughtUp || fresh(now);
}

void config_follower::recordPeerVersion(std::string_view peerId, std::uint64_t version, instant requestSentAt)
{
    m_highestKnownVersion = std::max(m_highestKnownVersion, version);
    const auto [entry, added] = m_peers.try_emplace(std::string(peerId));
    if (added || requestSentAt >= entry->second.receivedSince) {
        entry->second = {.version = version, .receivedSince = requestSentAt};
    }
}

void config_follower::setRoster(std::vector<std::string> members, std::string selfId)
{
    m_roster = {std::make_move_iterator(members.begin()), std::make_move_iterator(members.end())};
    m_selfId = std::move(selfId);
    std::erase_if(m_peers, [this](const auto &peer) {
        return !m_roster.contains(peer.first);
    });
}

void config_follower::receivePatches(std::span<const config_update> updates)
{
    for (const config_update &update : updates) {
        m_highestKnownVersion = std::max(m_highestKnownVersion, update.version);
        if (update.version <= heldVersion() || m_pendingUpdates.size() >= maxPendingUpdates) {
            continue;
        }
        // A whole document replaces a pending patch of the same version, but a patch does not replace a whole document.
        if (update.whole) {
            m_pendingUpdates.insert_or_assign(update.version, update);
        } else {
            m_pendingUpdates.emplace(update.version, update);
        }
    }
    applyPendingUpdates();
}

bool config_follower::fresh(instant now) const
{
    if (heldVersion() < m_highestKnownVersion) {
        return false;
    }
    return (m_confirmedHeadRequestedAt && withinFreshnessWindow(*m_confirmedHeadRequestedAt, now)) || majorityReachable(now);
}

/// Counts the members that answered within the freshness window. Members at version 0, and this daemon itself, do not count until they have
/// caught up after their start: a restarted daemon may have lost a version that it counted for, so two majorities could intersect only in
/// daemons that no longer know that version.
bool config_follower::majorityReachable(instant now) const
{
    if (!isMember()) {
        return false;
    }
    const auto reachable = std::ranges::count_if(m_peers, [&](const auto &peer) {
        return peer.first != m_selfId && m_roster.contains(peer.first) && peer.second.version > 0 && withinFreshnessWindow(peer.second.receivedSince, now);
    });
    return static_cast<std::size_t>(reachable) + (m_caughtUp ? 1 : 0) >= majoritySize();
}

bool config_follower::heldByMajority(std::uint64_t version) const
{
    if (!isMember() || !m_caughtUp || heldVersion() < version) {
        return false;
    }
    const auto holders = std::ranges::count_if(m_peers, [&](const auto &peer) {
        return peer.first != m_selfId && m_roster.contains(peer.first) && peer.second.version >= version;
    });
    return static_cast<std::size_t>(holders) + 1 >= majoritySize();
}

std::uint64_t config_follower::highestKnownVersion() const
{
    return m_highestKnownVersion;
}

std::uint64_t config_follower::advertisedVersion() const
{
    return m_caughtUp ? heldVersion() : 0;
}

std::vector<config_update> config_follower::updatesSince(std::uint64_t version) const
{
    const auto current = m_holder.current();
    if (version >= current->parsed.version) {
        return {};
    }
    if (m_recentPatches.empty() || m_recentPatches.front().version > version + 1) {
        return {{.version = current->parsed.version, .body = current->document, .whole = true}};
    }
    std::vector<config_update> updates;
    std::ranges::copy_if(m_recentPatches, std::back_inserter(updates), [&](const config_update &update) {
        return update.version > version;
    });
    return updates;
}

std::size_t config_follower::majoritySize() const
{
    return m_roster.size() / 2 + 1;
}

bool config_follower::isMember() const
{
    return m_roster.contains(m_selfId);
}

std::uint64_t config_follower::heldVersion() const
{
    return m_holder.current()->parsed.version;
}

}
