#include "coordination/node.h"

#include "coordination/front.h"
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

constexpr int usageHolderAttempts = 2; // A second peer is asked when the first does not answer in time.

}

// All of these run on the RPC loop's thread.
peer_handlers node::makePeerHandlers()
{
    return {
        .onHeartbeat =
            [this](const heartbeat &message) {
                return takeHeartbeat(message);
            },
        .onPatch =
            [this](const std::string &, const config_patch &patch) {
                offerPatches({&patch, 1});
            },
        .fetchPatches =
            [this](std::uint64_t after, std::uint32_t limit) {
                std::vector<config_patch> patches;
                const std::lock_guard lock(m_followerMutex);
                for (const auto &step : m_follower.stepsSince(after)) {
                    if (patches.size() < limit) {
                        patches.push_back({.version = step.version, .mergePatch = step.body.dump(), .whole = step.whole});
                    }
                }
                return patches;
            },
        .holdUsage =
            [this](const std::string &owner, std::vector<usage_record> records) {
                m_usage.hold(owner, std::move(records));
            },
        .releaseUsage =
            [this](const std::string &owner, const std::vector<std::string> &ids) {
                m_usage.releaseHeld(owner, ids);
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
                    // The time is from before the heartbeat left, so a delayed answer cannot make this daemon look fresh.
                    const std::lock_guard lock(m_followerMutex);
                    m_follower.notePeer(peerId, reply.configVersion, sentAt);
                }
                m_endpoints.takeDrainNotice(reply.orders);
                post([this, peerId, reply, sentAt](instant) {
                    m_rosterKeeper.noteVersion(peerId, reply.rosterVersion);
                    m_rosterKeeper.noteAnswered(peerId, sentAt);
                    catchUpFrom(peerId, reply.configVersion);
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

heartbeat_reply node::takeHeartbeat(const heartbeat &message)
{
    const instant now = m_now();
    for (const auto &report : message.reports) {
        m_endpoints.takeReport(report, now);
        m_poller->noteOther(report.endpoint, now - fromMs(report.ageMs));
    }
    for (const auto &suspect : message.suspects) {
        m_suspects.merge(suspect.fingerprint, suspect.crashes, now);
    }
    for (const auto &endpoint : message.drainingEndpoints) {
        m_endpoints.markDraining(endpoint, now + tunables::drainMarkTime);
    }
    m_endpoints.takeDrainNotice(message.orders);
    const std::uint64_t version = advertisedVersion();
    post([this, sender = message.sender, version = message.rosterVersion](instant at) {
        m_rosterKeeper.noteHeard(sender, at);
        m_rosterKeeper.noteVersion(sender, version);
    });
    const std::lock_guard lock(m_mutex);
    m_peers[message.sender] = {
        .info = {.id = message.sender,
                 .address = message.address,
                 .callerAddress = message.callerAddress,
                 .failureDomain = message.failureDomain,
                 .leaving = message.draining,
                 .load = message.load},
        .heardAt = now,
        .draining = message.draining,
        .demand = message.demand,
    };
    return {.configVersion = version, .rosterVersion = m_roster.version, .draining = m_draining, .orders = m_endpoints.drainNotice()};
}

// The patches of a peer that is ahead; the store may be down or slower than the peer.
void node::catchUpFrom(const std::string &peerId, std::uint64_t peerVersion)
{
    const std::uint64_t held = m_config.current()->parsed.version;
    if (peerVersion <= held) {
        return;
    }
    m_link->fetchPatches(peerId, held, tunables::patchFetchLimit, [this](const std::vector<config_patch> &patches) {
        offerPatches(patches);
    });
}

void node::offerPatches(std::span<const config_patch> patches)
{
    std::vector<config_step> steps;
    for (const auto &patch : patches) {
        if (auto body = nlohmann::json::parse(patch.mergePatch, nullptr, false); !body.is_discarded()) {
            steps.push_back({.version = patch.version, .body = std::move(body), .whole = patch.whole});
        }
    }
    const std::lock_guard lock(m_followerMutex);
    m_follower.offerPatches(steps);
}

std::uint64_t node::advertisedVersion() const
{
    const std::lock_guard lock(m_followerMutex);
    return m_follower.advertisedVersion();
}

// A process that has just started knows of no draining endpoint, although its predecessor may have confirmed one. It admits nothing until it has
// a notice of the orders, and until reports and the marks of endpoints to be given back have been heard or have ended.
bool node::configFresh() const
{
    const bool informed = m_now() >= m_startedAt + tunables::drainMarkTime && m_endpoints.drainNotice().epoch > 0;
    // A process that is not in the roster confirms nothing either.
    if (!informed || !roster().contains(m_settings.instanceId)) {
        return false;
    }
    const std::lock_guard lock(m_followerMutex);
    return m_follower.fresh(m_now());
}

void node::announcePatch(std::uint64_t version, const nlohmann::json &patch)
{
    const config_patch announced{.version = version, .mergePatch = patch.dump()};
    offerPatches({&announced, 1});
    m_link->pushPatch(announced);
}

instance_info node::self() const
{
    return {
        .id = m_settings.instanceId,
        .address = m_settings.peer.host + ":" + std::to_string(m_peerPort),
        .callerAddress = m_settings.caller.host + ":" + std::to_string(m_callerPort),
        .failureDomain = m_settings.failureDomain,
        .leaving = m_draining,
        .load = std::min(1.0, static_cast<double>(requestsInFlight(m_serving)) / std::max(1, m_settings.callerThreads)),
    };
}

heartbeat node::makeHeartbeat(instant now) const
{
    const auto own = self();
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
        .drainingEndpoints = m_fleetControl.retiring(),
        .orders = m_endpoints.drainNotice(),
    };
    for (const auto &suspect : m_suspects.entries(now)) {
        message.suspects.push_back({.fingerprint = suspect.fingerprint, .crashes = suspect.crashes});
    }
    return message;
}

std::vector<instance_info> node::liveInstances() const
{
    std::vector<instance_info> live{self()};
    const instant now = m_now();
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, peer] : m_peers) {
        if (now - peer.heardAt <= tunables::candidateHeardLimit) {
            live.push_back(peer.info);
        }
    }
    return live;
}

// The daemon's part of the demand that the live daemons of the roster serve. The floor lets a daemon without demand so far serve a
// new caller at once.
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
        if (!m_roster.contains(id) || now - peer.heardAt > tunables::candidateHeardLimit) {
            continue;
        }
        for (const auto &demand : peer.demand) {
            all += demand.group == group ? demand.weightedTokens : 0;
        }
    }
    const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(1, m_roster.members.size()));
    return all > 0 ? std::max(own / all, equal * tunables::demandShareFloor) : equal;
}

// Counts the demand served; requests that wait in the admission gate are not in it.
std::vector<group_demand> node::ownDemand(instant now) const
{
    std::vector<group_demand> demand;
    for (const auto &[group, rates] : m_serving.demand->rates(now)) {
        const double weighted
            = rates.shortTerm.promptTokensPerSecond * tunables::promptTokenWeight + rates.shortTerm.outputTokensPerSecond * tunables::outputTokenWeight;
        demand.push_back({.group = group, .weightedTokens = weighted, .rates = rates});
    }
    return demand;
}

std::map<std::string, demand_rates> node::cellDemand(instant now) const
{
    auto sum = m_serving.demand->rates(now);
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, peer] : m_peers) {
        if (now - peer.heardAt <= tunables::candidateHeardLimit) {
            for (const auto &demand : peer.demand) {
                sum[demand.group] += demand.rates;
            }
        }
    }
    return sum;
}

std::optional<std::string> node::addressOf(const std::string &endpointId) const
{
    const auto settings = m_endpoints.find(endpointId);
    return settings ? std::optional(settings->address) : std::nullopt;
}

// Live members in other failure domains, in the rendezvous order of the request.
std::vector<std::string> node::usageHolders(const std::string &requestId) const
{
    std::vector<std::string> candidates;
    const instant now = m_now();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, peer] : m_peers) {
            if (m_roster.contains(id) && peer.info.failureDomain != m_settings.failureDomain && !peer.draining
                && now - peer.heardAt <= tunables::candidateHeardLimit) {
                candidates.push_back(id);
            }
        }
    }
    const auto listed = candidates;
    std::ranges::sort(candidates, {}, [&](const std::string &id) {
        return rendezvousRank(requestId, id, listed);
    });
    return candidates;
}

bool node::replicateUsage(const usage_record &record)
{
    int attempts = 0;
    for (const auto &peerId : usageHolders(record.requestId)) {
        if (attempts++ == usageHolderAttempts) {
            break;
        }
        if (m_link->holdUsage(peerId, {&record, 1}, tunables::usageHoldTimeout).ok()) {
            const std::lock_guard lock(m_mutex);
            m_usageHolders[record.requestId] = peerId;
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
            if (const auto holder = m_usageHolders.extract(id)) {
                byPeer[holder.mapped()].push_back(id);
            }
        }
    }
    for (const auto &[peerId, ids] : byPeer) {
        m_link->releaseUsage(peerId, ids);
    }
}

}
