#include "serving/peer_summaries.h"

#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace lacewinglock
{

namespace
{

constexpr auto retryPause = std::chrono::milliseconds(50); // After an error of the socket.
constexpr auto newsSpacing = std::chrono::milliseconds(10); // A tenth of the work of one long prompt; bounds the rate in bursts.
constexpr double newsTokens = 1000; // Shorter prompts take an engine less than the time that the news would save.
constexpr auto reservationLife = std::chrono::milliseconds(600); // Renewed by each summary; a lost holder must not keep an engine idle.
constexpr auto successNews = std::chrono::seconds(2); // How long a success of a suspect request is told; longer than any gap between summaries.
constexpr std::size_t maxDatagramBytes = 32U << 10U;
constexpr std::size_t maxPartsPerSummary = 128;

bool isEmpty(const endpoint_load &load)
{
    return load.running == 0 && load.promptTokens < 1;
}

// Daemons that are silent are not counted with the load they last had.
void dropSilentPeers(edge_context &context)
{
    const instant now = bootNow();
    for (auto &[id, peer] : context.peers) {
        if (peer.heard && now - peer.heardAt > context.peerSilence()) {
            peer.heard = false;
            context.endpoints.dropPeer(id);
            auto line = context.line("peer_lost");
            line.add("peer", id).add("silent_ms", toMs(now - peer.heardAt));
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
    if (context.freshParts.size() > maxPartsPerSummary) {
        context.freshParts.erase(context.freshParts.begin(), context.freshParts.end() - maxPartsPerSummary);
    }
    out.parts = std::exchange(context.freshParts, {});
    const instant now = bootNow();
    for (const auto &suspect : context.suspects.news(now, now - successNews)) {
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
    if (peer.heard && peer.last.incarnation == summary.incarnation && summary.sequence <= peer.last.sequence) {
        return;
    }
    if (!peer.heard) {
        auto line = context.line("peer_heard");
        line.add("peer", summary.sender).add("serving", summary.serving);
        context.log.write(line);
    }
    peer.heard = true;
    peer.heardAt = now;
    peer.clockDifferenceMs = summary.wallMs - wallMs();
    std::vector<std::pair<std::uint64_t, endpoint_load>> loads;
    loads.reserve(summary.loads.size());
    for (const auto &load : summary.loads) {
        loads.emplace_back(load.endpoint, endpoint_load{load.running, load.promptTokens});
    }
    context.endpoints.setPeerLoad(summary.sender, std::move(loads));
    for (const auto &use : summary.parts) {
        context.parts.noteUse({use.part, use.tokens}, use.engine);
        context.parts.noteUnshared(use.engine, use.unshared);
    }
    for (const auto hash : summary.reserved) {
        if (const auto engine = context.endpoints.findByHash(hash)) {
            engine->reservedUntil = now + reservationLife;
        }
    }
    for (const auto &suspect : summary.suspects) {
        context.suspects.mergeAt(suspect.fingerprint, suspect.crashes, now - std::chrono::milliseconds(suspect.ageMs));
    }
    summary.loads.clear();
    summary.parts.clear();
    summary.suspects.clear();
    peer.last = std::move(summary);
}

void noteLoadNews(edge_context &context, double promptTokens)
{
    auto &pace = context.pace;
    if (const auto due = pace.lastSent + newsSpacing; promptTokens >= newsTokens && due < pace.nextDue) {
        pace.nextDue = due;
        pace.timer.cancel();
    }
}

task<void> sendSummaries(edge_context &context, udp::socket &socket)
{
    auto &pace = context.pace;
    while (true) {
        if (const auto wait = pace.nextDue - bootNow(); wait > duration::zero()) {
            pace.timer.expires_after(wait);
            boost::system::error_code ignored; // Cancelled by news.
            co_await pace.timer.async_wait(errorTo(ignored));
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
            // A full link or a vanished peer: the next summary tells more than a repeated one.
            if (!error) {
                context.counters.count(metric_counter::ControlBytesSent, datagram.size());
            } else {
                context.counters.count(metric_counter::PeerFailures);
            }
        }
        pace.lastSent = bootNow();
        pace.nextDue = pace.lastSent + context.summaryInterval();
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
        // Only members are believed, each from its own address.
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
