#include "coordination/node.h"

#include "coordination/caller_routes.h"
#include "protocol/tunables.h"
#include "state/rendezvous.h"

#include <algorithm>
#include <glog/logging.h>
#include <httplib.h>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr int maxUsageHolderAttempts = 2; // A second peer is tried when the first does not confirm in time.

}

// All handlers run on the RPC loop's thread.
peer_handlers node::makePeerHandlers()
{
    return {
        .onHeartbeat =
            [this](const heartbeat &message) {
                return handleHeartbeat(message);
            },
        .onPatch =
            [this](const std::string &, const config_patch &patch) {
                receivePatches({&patch, 1});
            },
        .fetchPatches =
            [this](std::uint64_t after, std::uint32_t limit) {
                std::vector<config_patch> patches;
                const std::lock_guard lock(m_followerMutex);
                for (const auto &update : m_follower.updatesSince(after)) {
                    if (patches.size() < limit) {
                        patches.push_back({.version = update.version, .mergePatch = update.body.dump(), .whole = update.whole});
                    }
                }
                return patches;
            },
        .holdUsage =
            [this](const std::string &owner, std::vector<usage_record> records) {
                m_usage.storeReplicas(owner, std::move(records));
            },
        .releaseUsage =
            [this](const std::string &owner, const std::vector<std::string> &ids) {
                m_usage.releaseReplicas(owner, ids);
            },
        .onTraffic =
            [this](std::size_t received, std::size_t sent) {
                m_metrics.count(metric_counter::ControlBytesReceived, received);
                m_metrics.count(metric_counter::ControlBytesSent, sent);
            },
    };
}

peer_link::callbacks node::makeLinkCallbacks()
{
    return {
        .onReply =
            [this](const std::string &peerId, const heartbeat_reply &reply, instant sentAt) {
                {
                    // `sentAt` is from before the heartbeat was sent, so a delayed reply cannot make an old configuration count as fresh.
                    const std::lock_guard lock(m_followerMutex);
                    m_follower.recordPeerVersion(peerId, reply.configVersion, sentAt);
                }
                m_endpoints.applyDrainNotice(reply.orders);
                postToControlThread([this, peerId, reply, sentAt](instant) {
                    m_rosterKeeper.noteRosterVersion(peerId, reply.rosterVersion);
                    m_rosterKeeper.noteHeartbeatAnswered(peerId, sentAt);
                    fetchNewerPatches(peerId, reply.configVersion);
                });
            },
        .onFailure =
            [this](const std::string &peerId, const std::string &error) {
                m_metrics.count(metric_counter::PeerFailures);
                LOG_EVERY_N(WARNING, 20) << "send heartbeat [" << peerId << "]: " << error;
            },
        .onTraffic =
            [this](std::size_t sent, std::size_t received) {
                m_metrics.count(metric_counter::ControlBytesSent, sent);
                m_metrics.count(metric_counter::ControlBytesReceived, received);
            },
    };
}

heartbeat_reply node::handleHeartbeat(const heartbeat &message)
{
    const instant now = m_now();
    for (const auto &report : message.reports) {
        m_endpoints.applyReport(report, now);
        m_poller->noteOtherPoll(report.endpoint, now - fromMs(report.ageMs));
    }
    for (const auto &suspect : message.suspects) {
        m_suspects.merge(suspect.fingerprint, suspect.crashes, now);
    }
    for (const auto &endpoint : message.drainingEndpoints) {
        m_endpoints.markDraining(endpoint, now + tunables::drainMarkLifetime);
    }
    m_endpoints.applyDrainNotice(message.orders);
    const std::uint64_t version = advertisedVersion();
    postToControlThread([this, sender = message.sender, version = message.rosterVersion](instant at) {
        m_rosterKeeper.noteHeartbeat(sender, at);
        m_rosterKeeper.noteRosterVersion(sender, version);
    });
    const std::lock_guard lock(m_mutex);
    m_peers[message.sender] = {
        .info = {.id = message.sender,
                 .address = message.address,
                 .callerAddress = message.callerAddress,
                 .failureDomain = message.failureDomain,
                 .leaving = message.draining,
                 .load = message.load},
        .lastReceivedAt = now,
        .draining = message.draining,
        .demand = message.demand,
    };
    return {.configVersion = version, .rosterVersion = m_roster.version, .draining = m_draining, .orders = m_endpoints.drainNotice()};
}

// Fetches patches from a peer with a newer configuration, because the store may be down or slower than the peer.
void node::fetchNewerPatches(const std::string &peerId, std::uint64_t peerVersion)
{
    const std::uint64_t ownVersion = m_config.current()->parsed.version;
    if (peerVersion <= ownVersion) {
        return;
    }
    m_link->fetchPatches(peerId, ownVersion, tunables::patchFetchLimit, [this](const std::vector<config_patch> &patches) {
        receivePatches(patches);
    });
}

void node::receivePatches(std::span<const config_patch> patches)
{
    std::vector<config_update> updates;
    for (const auto &patch : patches) {
        if (auto body = nlohmann::json::parse(patch.mergePatch, nullptr, false); !body.is_discarded()) {
            updates.push_back({.version = patch.version, .body = std::move(body), .whole = patch.whole});
        }
    }
    const std::lock_guard lock(m_followerMutex);
    m_follower.receivePatches(updates);
}

std::uint64_t node::advertisedVersion() const
{
    const std::lock_guard lock(m_followerMutex);
    return m_follower.advertisedVersion();
}

// A process that has just started holds no draining marks, although its previous incarnation may have confirmed that an endpoint gets no new work.
// It admits no requests until it has a drain notice, and until `drainMarkLifetime` has passed since its start: by then it has received endpoint
// reports and all valid marks with heartbeats, and older marks have expired.
bool node::configFresh() const
{
    const bool hasDrainState = m_now() >= m_startedAt + tunables::drainMarkLifetime && m_endpoints.drainNotice().epoch > 0;
    // The order keeper waits only for confirmations by roster members, so a daemon outside the roster must not admit requests.
    if (!hasDrainState || !roster().contains(m_settings.instanceId)) {
        return false;
    }
    const std::lock_guard lock(m_followerMutex);
    return m_follower.fresh(m_now());
}

void node::announcePatch(std::uint64_t version, const nlohmann::json &patch)
{
    const config_patch announced{.version = version, .mergePatch = patch.dump()};
    receivePatches({&announced, 1});
    m_link->pushPatch(announced);
}

instance_info node::ownInfo() const
{
    return {
        .id = m_settings.instanceId,
        .address = m_settings.peer.host + ":" + std::to_string(m_peerPort),
        .callerAddress = m_settings.caller.host + ":" + std::to_string(m_callerPort),
        .failureDomain = m_settings.failureDomain,
        .leaving = m_draining,
        .load = std::min(1.0, static_cast<double>(requestsInFlight(m_servingContext)) / std::max(1, m_settings.callerThreads)),
    };
}

heartbeat node::makeHeartbeat(instant now) const
{
    const auto own = ownInfo();
    heartbeat message{
        .sender = own.id,
        .address = own.address,
        .callerAddress = own.callerAddress,
        .failureDomain = own.failureDomain,
        .configVersion = advertisedVersion(),
        .rosterVersion = m_rosterKeeper.roster().version,
        .draining = own.leaving,
        .reports = m_poller->reports(now),
        .demand = ownDemand(now),
        .load = own.load,
        .drainingEndpoints = m_fleetController.retiring(),
        .orders = m_endpoints.drainNotice(),
    };
    for (const auto &suspect : m_suspects.entries(now)) {
        message.suspects.push_back({.fingerprint = suspect.fingerprint, .crashes = suspect.crashes});
    }
    return message;
}

std::vector<instance_info> node::liveInstances() const
{
    std::vector<instance_info> live{ownInfo()};
    const instant now = m_now();
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, peer] : m_peers) {
        if (now - peer.lastReceivedAt <= tunables::peerHeartbeatTimeout) {
            live.push_back(peer.info);
        }
    }
    return live;
}

// Returns this daemon's share of the demand that the live roster members serve, 0 to 1. The lower bound lets a daemon without demand so
// far admit a new caller at once.
double node::demandShare(const std::string &group) const
{
    const instant now = m_now();
    double own = 0;
    for (const auto &demand : ownDemand(now)) {
        own += demand.group == group ? demand.weightedTokens : 0;
    }
    double all = own;
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, peer] : m_peers) {
        if (!m_roster.contains(id) || now - peer.lastReceivedAt > tunables::peerHeartbeatTimeout) {
            continue;
        }
        for (const auto &demand : peer.demand) {
            all += demand.group == group ? demand.weightedTokens : 0;
        }
    }
    const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(1, m_roster.members.size()));
    return all > 0 ? std::max(own / all, equal * tunables::minDemandShare) : equal;
}

// Demand that is served. Requests waiting in the admission gate are not counted.
std::vector<group_demand> node::ownDemand(instant now) const
{
    std::vector<group_demand> demand;
    for (const auto &[group, rates] : m_servingContext.demand->rates(now)) {
        const double weighted
            = rates.shortTerm.promptTokensPerSecond * tunables::promptTokenWeight + rates.shortTerm.outputTokensPerSecond * tunables::outputTokenWeight;
        demand.push_back({.group = group, .weightedTokens = weighted, .rates = rates});
    }
    return demand;
}

std::map<std::string, demand_rates> node::cellDemand(instant now) const
{
    auto sum = m_servingContext.demand->rates(now);
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, peer] : m_peers) {
        if (now - peer.lastReceivedAt <= tunables::peerHeartbeatTimeout) {
            for (const auto &demand : peer.demand) {
                sum[demand.group] += demand.rates;
            }
        }
    }
    return sum;
}

std::optional<std::string> node::endpointAddress(const std::string &endpointId) const
{
    const auto settings = m_endpoints.find(endpointId);
    return settings ? std::optional(settings->address) : std::nullopt;
}

// Returns the live roster members in other failure domains that are not draining, in the rendezvous-hash order of the request id.
std::vector<std::string> node::usageHolderCandidates(const std::string &requestId) const
{
    std::vector<std::string> candidates;
    const instant now = m_now();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, peer] : m_peers) {
            if (m_roster.contains(id) && peer.info.failureDomain != m_settings.failureDomain && !peer.draining
                && now - peer.lastReceivedAt <= tunables::peerHeartbeatTimeout) {
                candidates.push_back(id);
            }
        }
    }
    const auto unsorted = candidates;
    std::ranges::sort(candidates, {}, [&](const std::string &id) {
        return rendezvousRank(requestId, id, unsorted);
    });
    return candidates;
}

bool node::replicateUsage(const usage_record &record)
{
    int attempts = 0;
    for (const auto &peerId : usageHolderCandidates(record.requestId)) {
        if (attempts++ == maxUsageHolderAttempts) {
            break;
        }
        if (m_link->holdUsage(peerId, {&record, 1}, tunables::usageHoldTimeout).ok()) {
            const std::lock_guard lock(m_mutex);
            m_usageHolderByRequest[record.requestId] = peerId;
            return true;
        }
    }
    return false;
}

void node::releaseUsage(const std::vector<std::string> &requestIds)
{
    std::map<std::string, std::vector<std::string>> byPeer;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &id : requestIds) {
            if (const auto holder = m_usageHolderByRequest.extract(id)) {
                byPeer[holder.mapped()].push_back(id);
            }
        }
    }
    for (const auto &[peerId, ids] : byPeer) {
        m_link->releaseUsage(peerId, ids);
    }
}

}
