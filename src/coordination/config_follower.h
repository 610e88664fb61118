#pragma once

#include "protocol/control.h"
#include "state/config_holder.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// An update of the configuration to `version`, as exchanged between peers.
struct config_update
{
    std::uint64_t version = 0;
    nlohmann::json body; ///< Merge patch on top of the previous version, or the whole document of this version.
    bool whole = false; ///< The body is the whole document.
};

/// Keeps the configuration of this daemon up to date from the table service and from peers, and decides whether it is recent enough to
/// admit requests (the freshness gate). Not thread-safe: the node calls it under one lock.
class config_follower
{
public:
    explicit config_follower(config_holder &holder);

    /// Processes a tick or the result of an earlier read; appends the reads to perform next.
    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// Records that a peer answered the heartbeat sent at `requestSentAt` with this version, which is its `advertisedVersion()`.
    void recordPeerVersion(std::string_view peerId, std::uint64_t version, instant requestSentAt);
    /// Sets the members of the roster row; majorities are counted among them.
    void setRoster(std::vector<std::string> members, std::string selfId);
    /// Applies updates received from a peer. They may arrive in any order and more than once.
    void receivePatches(std::span<const config_update> updates);

    /// Returns whether requests may be admitted: every known version is installed, and either the head row or a majority of the roster
    /// answered a request sent within the freshness window.
    bool fresh(instant now) const;
    /// Returns whether a majority of the roster, including this daemon, is known to hold at least this version.
    bool heldByMajority(std::uint64_t version) const;
    /// The highest version seen in the head row, in a heartbeat or in an update, installed or not.
    std::uint64_t highestKnownVersion() const;
    /// The version to send to peers. It is 0 until this process has been fresh once: a restart loses the version held before, so the process
    /// must not count towards a majority until then.
    std::uint64_t advertisedVersion() const;
    /// Updates that bring a peer from `version` to the held version: recent patches, or the whole document when the patches do not reach back
    /// that far.
    std::vector<config_update> updatesSince(std::uint64_t version) const;

private:
    struct peer_state
    {
        std::uint64_t version = 0;
        instant receivedSince; ///< When the answered request was sent: the peer held the version at that time or later.
    };

    void handleHeadRead(const row_read_event &event);
    void handlePatchRead(const row_read_event &event, std::uint64_t version);
    void requestMissingPatches(std::vector<control_effect> &out);
    void applyPendingUpdates();
    void install(nlohmann::json document, std::uint64_t version);
    void updateCaughtUp(instant now);
    bool majorityReachable(instant now) const;
    std::size_t majoritySize() const;
    bool isMember() const;
    std::uint64_t heldVersion() const;

    config_holder &m_holder;
    op_id m_nextOp = 1;
    op_id m_headOp = 0; ///< 0 when no read of the head row is running.
    instant m_headRequestedAt;
    std::optional<instant> m_confirmedHeadRequestedAt; ///< When the last successful read of the head row was sent.
    std::uint64_t m_lastHeadVersion = 0;
    std::uint64_t m_highestKnownVersion = 0;
    bool m_caughtUp = false; ///< This process has been fresh at least once.
    bool m_patchFetchDue = false;
    std::map<op_id, std::uint64_t> m_patchOps; ///< Running reads of patch rows, with the version of each.
    std::map<std::uint64_t, config_update> m_pendingUpdates; ///< Received updates above the held version, by version.
    std::deque<config_update> m_recentPatches; ///< Last applied patches, to send to peers.
    std::set<std::string, std::less<>> m_roster;
    std::string m_selfId;
    std::map<std::string, peer_state, std::less<>> m_peers;
};

}
