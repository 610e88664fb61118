#include "serving/peer_summaries.h"

#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace lacewinglock
{

namespace
{

constexpr auto retryPause = std::chrono::milliseconds(50); // After a socket error.
constexpr auto loadUpdateInterval = std::chrono::milliseconds(10); // A tenth of the prefill time of a long prompt; limits the rate in bursts.
constexpr double loadUpdateTokens = 1000; // The prefill of a shorter prompt takes less time than an early update would save.
constexpr auto reservationLifetime = std::chrono::milliseconds(600); // Each summary renews it. A lost daemon must not keep an engine idle.
constexpr auto successReportTime = std::chrono::seconds(2); // Success of a suspect request is reported this long, longer than any gap between summaries.
constexpr std::size_t maxDatagramBytes = 32U << 10U;
constexpr std::size_t maxPrefixBlocksPerSummary = 128;

bool isEmpty(const endpoint_load &load)
{
    return load.running == 0 && load.promptTokens < 1;
}

// Marks peers without recent summaries as lost and discards the load that they last reported.
void dropSilentPeers(edge_context &context)
{
    const instant now = bootNow();
    for (auto &[id, peer] : context.peers) {
        if (peer.alive && now - peer.lastReceivedAt > context.peerTimeout()) {
            peer.alive = false;
            context.endpoints.dropPeer(id);
            auto line = context.line("peer_lost");
            line.add("peer", id).add("silent_ms", toMs(now - peer.lastReceivedAt));
            context.log.write(line);
        }
    }
}

}

daemon_summary makeSummary(edge_context &context)
{
    daemon_summary out{
        .sender = context.settings.id,
        .sequence = static_cast<std::uint64_t>(bootNow().time_since_epoch().count()),
        .incarnation = context.incarnation,
        .callerAddress = context.settings.callerAddress,
        .failureDomain = context.settings.failureDomain,
        .serving = context.serving(),
        .holdsLease = context.holdsLease,
        .configVersion = context.configuration ? context.configuration->version : 0,
        .wallMs = wallMs(),
        .capacity = context.settings.capacity,
    };
    for (const auto &endpoint : context.endpoints.all()) {
        if (!isEmpty(endpoint->own)) {
            out.loads.push_back({endpoint->hash, endpoint->own.running, endpoint->own.promptTokens});
        }
    }
    if (context.unsentPrefixBlocks.size() > maxPrefixBlocksPerSummary) {
        context.unsentPrefixBlocks.erase(context.unsentPrefixBlocks.begin(), context.unsentPrefixBlocks.end() - maxPrefixBlocksPerSummary);
    }
    out.prefixBlocks = std::exchange(context.unsentPrefixBlocks, {});
    const instant now = bootNow();
    for (const auto &suspect : context.suspects.updates(now, now - successReportTime)) {
        const instant at = suspect.crashes > 0 ? suspect.lastCrash : suspect.clearedAt;
        out.suspects.push_back({suspect.fingerprint, suspect.crashes, std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count()});
    }
    out.reserved = context.reserved;
    return out;
}

void applySummary(edge_context &context, daemon_summary summary)
{
    auto &peer = context.peers[summary.sender];
    const instant now = bootNow();
    if (peer.alive && peer.last.incarnation == summary.incarnation && summary.sequence <= peer.last.sequence) {
        return;
    }
    if (!peer.alive) {
        auto line = context.line("peer_heard");
        line.add("peer", summary.sender).add("serving", summary.serving);
        context.log.write(line);
    }
    peer.alive = true;
    peer.lastReceivedAt = now;
    peer.clockDifferenceMs = summary.wallMs - wallMs();
    std::vector<std::pair<std::uint64_t, endpoint_load>> loads;
    loads.reserve(summary.loads.size());
    for (const auto &load : summary.loads) {
        loads.emplace_back(load.endpoint, endpoint_load{load.running, load.promptTokens});
    }
    context.endpoints.setPeerLoad(summary.sender, std::move(loads));
    for (const auto &use : summary.prefixBlocks) {
        context.prefixBlocks.noteUse({use.prefixBlock, use.tokens}, use.engine);
        context.prefixBlocks.noteUnsharedSuffix(use.engine, use.unsharedTokens);
    }
    for (const auto hash : summary.reserved) {
        if (const auto engine = context.endpoints.findByHash(hash)) {
            engine->reservedUntil = now + reservationLifetime;
        }
    }
    for (const auto &suspect : summary.suspects) {
        context.suspects.mergeAt(suspect.fingerprint, suspect.crashes, now - std::chrono::milliseconds(suspect.ageMs));
    }
    summary.loads.clear();
    summary.prefixBlocks.clear();
    summary.suspects.clear();
    peer.last = std::move(summary);
}

void expediteSummary(edge_context &context, double promptTokens)
{
    auto &summarySchedule = context.summarySchedule;
    if (const auto due = summarySchedule.lastSent + loadUpdateInterval; promptTokens >= loadUpdateTokens && due < summarySchedule.nextDue) {
        summarySchedule.nextDue = due;
        summarySchedule.timer.cancel();
    }
}

task<void> sendSummaries(edge_context &context, udp::socket &socket)
{
    auto &summarySchedule = context.summarySchedule;
    while (true) {
        if (const auto wait = summarySchedule.nextDue - bootNow(); wait > duration::zero()) {
            summarySchedule.timer.expires_after(wait);
            boost::system::error_code ignored; // expediteSummary() cancels the timer.
            co_await summarySchedule.timer.async_wait(errorTo(ignored));
            continue;
        }
        dropSilentPeers(context);
        const std::string datagram = encodeSummary(makeSummary(context));
        for (const auto &[id, address] : context.members) {
            const auto target = parseAddress(address);
            if (id == context.settings.id || !target.ok()) {
                continue;
            }
            boost::system::error_code error;
            socket.send_to(asio::buffer(datagram), udp::endpoint(target->address(), target->port()), 0, error);
            // The link is full or the peer is gone. No retry: the next summary is more recent than a repeated one.
            if (!error) {
                context.counters.count(metric_counter::ControlBytesSent, datagram.size());
            } else {
                context.counters.count(metric_counter::PeerFailures);
            }
        }
        summarySchedule.lastSent = bootNow();
        summarySchedule.nextDue = summarySchedule.lastSent + context.summaryInterval();
    }
}

task<void> receiveSummaries(edge_context &context, udp::socket &socket)
{
    std::string buffer(maxDatagramBytes, '\0');
    while (true) {
        udp::endpoint sender;
        boost::system::error_code error;
        const auto size = co_await socket.async_receive_from(asio::buffer(buffer), sender, errorTo(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            context.counters.count(metric_counter::PeerFailures);
            co_await sleepFor(retryPause);
            continue;
        }
        context.counters.count(metric_counter::ControlBytesReceived, size);
        auto summary = parseSummary(std::string_view(buffer).substr(0, size));
        if (!summary.ok()) {
            auto line = context.line("summary_unreadable");
            line.add("peer", sender.address().to_string()).add("error", summary.status().ToString());
            context.log.write(line);
            continue;
        }
        // Summaries are accepted from members only, each from its own address.
        const auto member = context.members.find(summary->sender);
        if (member == context.members.end()) {
            context.unknownSender = true;
            continue;
        }
        if (summary->sender == context.settings.id || member->second != absl::StrCat(sender.address().to_string(), ":", sender.port())) {
            continue;
        }
        applySummary(context, std::move(*summary));
    }
}

}
