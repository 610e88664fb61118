#include "protocol/tunables.h"
#include "standin/virtual_daemon.h"
#include "state/rendezvous.h"

#include <algorithm>
#include <set>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr duration minPeerLatency = 1ms;
constexpr duration maxPeerLatency = 20ms;

}

void virtual_daemon::pollEndpoints(daemon_incarnation &incarnation)
{
    const auto members = incarnation.roster.liveMembers(now());
    for (const auto &[id, settings] : incarnation.config.current()->parsed.endpoints) {
        const auto found = m_environment.endpoints.find(id);
        const bool due = found != m_environment.endpoints.end() && incarnation.pollSchedule.start(id, rendezvousRank(id, m_id, members) == 0, now());
        if (found == m_environment.endpoints.end() || !incarnation.pollSchedule.isPolling(id)) {
            incarnation.polled.erase(id);
        }
        if (!due) {
            continue;
        }
        post(
            m_world.clock.randomBetween(minPeerLatency, maxPeerLatency), "polls " + id, [this, &target = *found->second, id = id](daemon_incarnation &current) {
                const auto report = target.report();
                const auto last = current.polled.find(id);
                const bool wasLeaving = last != current.polled.end() && last->second.report.leaving;
                auto &polled = current.polled[id] = {.report = report.value_or(endpoint_report{.endpoint = id, .reachable = false}), .receivedAt = now()};
                current.endpoints.applyReport(polled.report, now());
                if (!report) {
                    current.endpoints.markUnreachable(id, now());
                }
                if (polled.report.leaving && !wasLeaving) {
                    sendHeartbeats(current);
                }
            });
    }
}

void virtual_daemon::forwardEndpointReports(daemon_incarnation &incarnation)
{
    const auto config = incarnation.config.current();
    for (const auto &report : incarnation.endpoints.reports(now())) {
        if (const auto found = config->parsed.endpoints.find(report.endpoint); found != config->parsed.endpoints.end()) {
            const auto age = fromMs(report.ageMs);
            incarnation.orders.noteReport(report, now() - age, found->second.checksFencing);
        }
    }
}

void virtual_daemon::sendHeartbeats(daemon_incarnation &incarnation)
{
    std::set<std::string> peers(incarnation.roster.roster().members.begin(), incarnation.roster.roster().members.end());
    for (const auto &instance : m_environment.platform.instances()) {
        peers.insert(instance.id);
    }
    peers.erase(m_id);
    if (const auto notice = incarnation.orders.notice()) {
        incarnation.endpoints.applyDrainNotice(*notice);
    }
    for (const auto &id : peers) {
        if (const auto peer = m_environment.daemons.find(id); peer != m_environment.daemons.end() && m_world.reaches(m_id, id)) {
            exchangeHeartbeat(*peer->second);
        }
    }
}

// One heartbeat request and reply. A reply after the timeout or across a partition is dropped.
void virtual_daemon::exchangeHeartbeat(virtual_daemon &peer)
{
    const instant sentAt = now();
    const duration requestLatency = m_world.clock.randomBetween(minPeerLatency, maxPeerLatency);
    m_world.clock.after(requestLatency, m_id + " heartbeat to " + peer.id(), [this, &peer, sentAt, sender = std::weak_ptr(m_incarnation)] {
        peer.run(peer.m_incarnation, [this, &peer, sentAt, sender](daemon_incarnation &receiver) {
            const auto senderIncarnation = sender.lock();
            if (!senderIncarnation) {
                return;
            }
            peer.handleHeartbeat(receiver, *senderIncarnation, *this);
            const heartbeat_reply reply{.configVersion = receiver.follower.advertisedVersion(),
                                        .rosterVersion = receiver.roster.roster().version,
                                        .orders = receiver.endpoints.drainNotice()};
            m_world.clock.after(m_world.clock.randomBetween(minPeerLatency, maxPeerLatency), m_id + " heartbeat answer", [this, &peer, reply, sentAt, sender] {
                run(sender, [this, &peer, reply, sentAt](daemon_incarnation &) {
                    if (now() - sentAt <= tunables::peerCallTimeout && m_world.reaches(m_id, peer.id())) {
                        handleHeartbeatReply(peer.id(), reply, sentAt);
                    }
                });
            });
        });
    });
}

void virtual_daemon::handleHeartbeat(daemon_incarnation &incarnation, const daemon_incarnation &sender, const virtual_daemon &senderDaemon)
{
    for (const auto &[id, polled] : sender.polled) {
        auto report = polled.report;
        report.ageMs = toMs(senderDaemon.now() - polled.receivedAt);
        incarnation.endpoints.applyReport(report, now());
        incarnation.pollSchedule.noteOtherPoll(id, now() - fromMs(report.ageMs));
    }
    for (const auto &suspect : sender.suspects.entries(senderDaemon.now())) {
        incarnation.suspects.merge(suspect.fingerprint, suspect.crashes, now());
    }
    incarnation.endpoints.applyDrainNotice(sender.endpoints.drainNotice());
    incarnation.roster.noteHeartbeat(senderDaemon.id(), now());
    incarnation.roster.noteRosterVersion(senderDaemon.id(), sender.roster.roster().version);
}

// Fetches the missing patches from a peer with a newer configuration version.
void virtual_daemon::handleHeartbeatReply(const std::string &peerId, const heartbeat_reply &reply, instant sentAt)
{
    m_incarnation->endpoints.applyDrainNotice(reply.orders);
    m_incarnation->follower.recordPeerVersion(peerId, reply.configVersion, sentAt);
    m_incarnation->roster.noteRosterVersion(peerId, reply.rosterVersion);
    m_incarnation->roster.noteHeartbeatAnswered(peerId, sentAt);
    m_incarnation->orders.noteDrainConfirmed(m_incarnation->roster.allAnsweredSince());
    const std::uint64_t held = m_incarnation->config.current()->parsed.version;
    if (reply.configVersion <= held) {
        return;
    }
    post(m_world.clock.randomBetween(minPeerLatency, maxPeerLatency), "fetches patches", [this, peerId, held](daemon_incarnation &incarnation) {
        if (const auto *peer = m_environment.daemons.at(peerId)->incarnation(); peer != nullptr && m_world.reaches(m_id, peerId)) {
            incarnation.follower.receivePatches(peer->follower.updatesSince(held));
        }
    });
}

// The daemon that stored a patch pushes it to all reachable peers.
void virtual_daemon::announce(std::uint64_t version, const nlohmann::json &patch)
{
    const std::vector<config_update> steps{{.version = version, .body = patch}};
    m_incarnation->follower.receivePatches(steps);
    for (const auto &[id, peer] : m_environment.daemons) {
        if (id != m_id && peer->alive() && m_world.reaches(m_id, id)) {
            peer->post(m_world.clock.randomBetween(minPeerLatency, maxPeerLatency), "takes a pushed patch", [steps](daemon_incarnation &incarnation) {
                incarnation.follower.receivePatches(steps);
            });
        }
    }
}

void virtual_daemon::adoptUsage(daemon_incarnation &incarnation)
{
    if (incarnation.roster.roster().version > 0) {
        incarnation.usage.adoptOrphans([&](std::string_view owner) {
            return incarnation.roster.roster().contains(owner);
        });
    }
}

bool virtual_daemon::replicate(daemon_incarnation &incarnation, const usage_record &record) const
{
    for (const auto &[id, peer] : m_environment.daemons) {
        const bool usable = peer->alive() && !peer->paused() && peer->failureDomain() != m_failureDomain && m_world.reaches(m_id, id);
        if (usable && incarnation.roster.roster().contains(id)) {
            peer->incarnation()->usage.storeReplicas(m_id, {record});
            incarnation.usageReplicaHolders[record.requestId] = id;
            return true;
        }
    }
    return false;
}

void virtual_daemon::releaseUsage(daemon_incarnation &incarnation, const std::vector<std::string> &ids) const
{
    for (const auto &id : ids) {
        const auto holder = incarnation.usageReplicaHolders.extract(id);
        if (!holder) {
            continue;
        }
        if (auto *peer = m_environment.daemons.at(holder.mapped())->incarnation(); peer != nullptr && m_world.reaches(m_id, holder.mapped())) {
            peer->usage.releaseReplicas(m_id, std::vector{id});
        }
    }
}

}
