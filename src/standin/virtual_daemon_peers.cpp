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

constexpr duration shortestHop = 1ms;
constexpr duration longestHop = 20ms;

}

void virtual_daemon::pollEndpoints(daemon_life &life)
{
    const auto members = life.roster.recentMembers(now());
    for (const auto &[id, settings] : life.config.current()->parsed.endpoints) {
        const auto found = m_around.endpoints.find(id);
        const bool due = found != m_around.endpoints.end() && life.pollTurns.start(id, rendezvousRank(id, m_id, members) == 0, now());
        if (found == m_around.endpoints.end() || !life.pollTurns.polls(id)) {
            life.polled.erase(id);
        }
        if (!due) {
            continue;
        }
        post(m_world.clock.between(shortestHop, longestHop), "polls " + id, [this, &target = *found->second, id = id](daemon_life &same) {
            const auto report = target.report();
            const auto last = same.polled.find(id);
            const bool known = last != same.polled.end() && last->second.report.leaving;
            auto &polled = same.polled[id] = {.report = report.value_or(endpoint_report{.endpoint = id, .reachable = false}), .takenAt = now()};
            same.endpoints.takeReport(polled.report, now());
            if (!report) {
                same.endpoints.markUnreachable(id, now());
            }
            if (polled.report.leaving && !known) {
                sendHeartbeats(same);
            }
        });
    }
}

void virtual_daemon::passReports(daemon_life &life)
{
    const auto config = life.config.current();
    for (const auto &report : life.endpoints.reports(now())) {
        if (const auto found = config->parsed.endpoints.find(report.endpoint); found != config->parsed.endpoints.end()) {
            const auto age = fromMs(report.ageMs);
            life.orders.noteReport(report, now() - age, found->second.checksFencing);
        }
    }
}

void virtual_daemon::sendHeartbeats(daemon_life &life)
{
    std::set<std::string> peers(life.roster.roster().members.begin(), life.roster.roster().members.end());
    for (const auto &instance : m_around.platform.instances()) {
        peers.insert(instance.id);
    }
    peers.erase(m_id);
    if (const auto notice = life.orders.notice()) {
        life.endpoints.takeDrainNotice(*notice);
    }
    for (const auto &id : peers) {
        if (const auto peer = m_around.daemons.find(id); peer != m_around.daemons.end() && m_world.reaches(m_id, id)) {
            heartbeat(*peer->second);
        }
    }
}

// One exchange with a peer. The request carries what this daemon knew when it was sent.
void virtual_daemon::heartbeat(virtual_daemon &peer)
{
    const instant sentAt = now();
    const duration there = m_world.clock.between(shortestHop, longestHop);
    m_world.clock.after(there, m_id + " heartbeat to " + peer.id(), [this, &peer, sentAt, sender = std::weak_ptr(m_life)] {
        peer.run(peer.m_life, [this, &peer, sentAt, sender](daemon_life &taken) {
            const auto from = sender.lock();
            if (!from) {
                return;
            }
            peer.takeHeartbeat(taken, *from, *this);
            const heartbeat_reply reply{
                .configVersion = taken.follower.advertisedVersion(), .rosterVersion = taken.roster.roster().version, .orders = taken.endpoints.drainNotice()};
            m_world.clock.after(m_world.clock.between(shortestHop, longestHop), m_id + " heartbeat answer", [this, &peer, reply, sentAt, sender] {
                run(sender, [this, &peer, reply, sentAt](daemon_life &) {
                    if (now() - sentAt <= tunables::peerCallTimeout && m_world.reaches(m_id, peer.id())) {
                        takeReply(peer.id(), reply, sentAt);
                    }
                });
            });
        });
    });
}

void virtual_daemon::takeHeartbeat(daemon_life &life, const daemon_life &sender, const virtual_daemon &from)
{
    for (const auto &[id, polled] : sender.polled) {
        auto report = polled.report;
        report.ageMs = toMs(from.now() - polled.takenAt);
        life.endpoints.takeReport(report, now());
        life.pollTurns.noteOther(id, now() - fromMs(report.ageMs));
    }
    for (const auto &suspect : sender.suspects.entries(from.now())) {
        life.suspects.merge(suspect.fingerprint, suspect.crashes, now());
    }
    life.endpoints.takeDrainNotice(sender.endpoints.drainNotice());
    life.roster.noteHeard(from.id(), now());
    life.roster.noteVersion(from.id(), sender.roster.roster().version);
}

// A peer that is ahead sends its steps.
void virtual_daemon::takeReply(const std::string &peerId, const heartbeat_reply &reply, instant sentAt)
{
    m_life->endpoints.takeDrainNotice(reply.orders);
    m_life->follower.notePeer(peerId, reply.configVersion, sentAt);
    m_life->roster.noteVersion(peerId, reply.rosterVersion);
    m_life->roster.noteAnswered(peerId, sentAt);
    m_life->orders.noteDrainConfirmed(m_life->roster.allAnsweredSince());
    const std::uint64_t held = m_life->config.current()->parsed.version;
    if (reply.configVersion <= held) {
        return;
    }
    post(m_world.clock.between(shortestHop, longestHop), "fetches patches", [this, peerId, held](daemon_life &life) {
        if (const auto *peer = m_around.daemons.at(peerId)->life(); peer != nullptr && m_world.reaches(m_id, peerId)) {
            life.follower.offerPatches(peer->follower.stepsSince(held));
        }
    });
}

// The accepting daemon pushes a new version to its peers.
void virtual_daemon::announce(std::uint64_t version, const nlohmann::json &patch)
{
    const std::vector<config_step> steps{{.version = version, .body = patch}};
    m_life->follower.offerPatches(steps);
    for (const auto &[id, peer] : m_around.daemons) {
        if (id != m_id && peer->alive() && m_world.reaches(m_id, id)) {
            peer->post(m_world.clock.between(shortestHop, longestHop), "takes a pushed patch", [steps](daemon_life &life) {
                life.follower.offerPatches(steps);
            });
        }
    }
}

void virtual_daemon::adoptUsage(daemon_life &life)
{
    if (life.roster.roster().version > 0) {
        life.usage.adoptOrphans([&](std::string_view owner) {
            return life.roster.roster().contains(owner);
        });
    }
}

bool virtual_daemon::replicate(daemon_life &life, const usage_record &record) const
{
    for (const auto &[id, peer] : m_around.daemons) {
        const bool usable = peer->alive() && !peer->paused() && peer->failureDomain() != m_failureDomain && m_world.reaches(m_id, id);
        if (usable && life.roster.roster().contains(id)) {
            peer->life()->usage.hold(m_id, {record});
            life.usageHolders[record.requestId] = id;
            return true;
        }
    }
    return false;
}

void virtual_daemon::releaseUsage(daemon_life &life, const std::vector<std::string> &ids) const
{
    for (const auto &id : ids) {
        const auto holder = life.usageHolders.extract(id);
        if (!holder) {
            continue;
        }
        if (auto *peer = m_around.daemons.at(holder.mapped())->life(); peer != nullptr && m_world.reaches(m_id, holder.mapped())) {
            peer->usage.releaseHeld(m_id, std::vector{id});
        }
    }
}

}
