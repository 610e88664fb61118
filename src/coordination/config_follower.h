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

/// One step of the configuration as peers pass it on: a merge patch to the version before, or the whole document of the version.
struct config_step
{
    std::uint64_t version = 0;
    nlohmann::json body;
    bool whole = false;
};

/// Keeps the configuration of this daemon current from the table service and from peers, and decides whether it is current enough to
/// admit requests (the freshness gate). Not thread-safe: the node calls it under one lock.
class config_follower
{
public:
    explicit config_follower(config_holder &holder);

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// A peer answered a heartbeat, sent at `requestSentAt`, with its `advertisedVersion()`.
    void notePeer(std::string_view peerId, std::uint64_t version, instant requestSentAt);
    /// Members of the roster row; majorities are counted against them.
    void setRoster(std::vector<std::string> members, std::string selfId);
    /// Takes steps that a peer pushed or answered; they may arrive in any order and repeatedly.
    void offerPatches(std::span<const config_step> steps);

    /// Requests may be admitted: every known version is held, and either the head or a majority was heard within the freshness window.
    bool fresh(instant now) const;
    /// A majority of the roster, this daemon included, is known to hold at least this version.
    bool inForce(std::uint64_t version) const;
    std::uint64_t highestKnown() const;
    /// The version to tell peers. It is 0 while this process has not yet caught up once: after a restart it has forgotten what it held, so it
    /// must not count towards a majority.
    std::uint64_t advertisedVersion() const;
    /// Steps that bring a peer from `version` to the held one: the recent patches, or the whole document when they do not reach back so far.
    std::vector<config_step> stepsSince(std::uint64_t version) const;

private:
    struct peer_state
    {
        std::uint64_t version = 0;
        instant heardSince;
    };

    void takeHead(const row_read_event &event);
    void takePatch(const row_read_event &event, std::uint64_t version);
    void requestPatches(std::vector<control_effect> &out);
    void applySteps();
    void install(nlohmann::json document, std::uint64_t version);
    void updateAnchor(instant now);
    bool hearsMajority(instant now) const;
    std::size_t majority() const;
    bool isMember() const;
    std::uint64_t held() const;

    config_holder &m_holder;
    op_id m_nextOp = 1;
    op_id m_headOp = 0; // 0 when no read of the head is running.
    instant m_headSentAt;
    std::optional<instant> m_headReadAt; // When the last successful read of the head was sent.
    std::uint64_t m_lastHead = 0;
    std::uint64_t m_highestKnown = 0;
    bool m_anchored = false; // This process has been fresh once.
    bool m_fetchDue = false;
    std::map<op_id, std::uint64_t> m_patchOps;
    std::map<std::uint64_t, config_step> m_pending; // Steps above the held version.
    std::deque<config_step> m_recent; // The last applied patches, for peers.
    std::set<std::string, std::less<>> m_roster;
    std::string m_selfId;
    std::map<std::string, peer_state, std::less<>> m_peers;
};

}
