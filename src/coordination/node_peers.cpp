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
                post([this, peerId, reply](instant) {
                    m_rosterKeeper.noteVersion(peerId, reply.rosterVersion);
                    catchUpFrom(peerId, reply.configVersion);
                });
            },
        .onFailure =
            [this](const std::string &peerId, const std::string &error) {
                m_metrics.count(metric_counter::PeerFailures);
                LOG_EVERY_N(WARNING, 20) << "send heartbeat [" << peerId << "]: " << error;
            },
    };
}

heartbeat_reply node::takeHeartbeat(const heartbeat &message)
{
    const instant now = m_now();
    for (const auto &report : message.reports) {
        m_endpoints.takeReport(report, now);
    }
    for (const auto &suspect : message.suspects) {
        m_suspects.merge(suspect.fingerprint, suspect.crashes, now);
    }
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
    return {.configVersion = version, .rosterVersion = m_roster.version, .draining = m_draining};
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

bool node::configFresh() const
{
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
        .load = own.load,
        // WIRING: .demand from the admission queues of the front.
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

// Until demand is wired in, each live daemon of the roster takes an equal share.
double node::demandShare(const std::string & /*group*/) const
{
    const std::lock_guard lock(m_mutex);
    return 1.0 / static_cast<double>(std::max<std::size_t>(1, m_roster.members.size()));
}

std::optional<std::string> node::addressOf(const std::string &endpointId) const
{
    const auto config = m_config.current();
    const auto found = config->parsed.endpoints.find(endpointId);
    return found == config->parsed.endpoints.end() ? std::nullopt : std::optional(found->second.address);
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
