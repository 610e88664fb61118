#include "serving/peer_exchange.h"

#include "serving/endpoint_notice.h"
#include "serving/quota_check.h"
#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <numeric>

namespace lacewinglock
{

namespace
{

constexpr auto retryPause = std::chrono::milliseconds(50); // After a socket error.
constexpr double loadUpdateTokens = 1000; // The prefill of a shorter prompt takes less time than an early update would save.
constexpr double announcedPrefixTokens = 1000; // Prefill of a shorter prefix costs less than its announcement to all daemons.
constexpr auto announceInterval = std::chrono::seconds(1); // Of the same block on the same engine.
constexpr std::size_t maxRecentAnnouncements = 4096;
constexpr auto reservationLifetime = std::chrono::milliseconds(600); // Each summary renews it. A lost daemon must not keep an engine idle.
constexpr std::size_t maxDatagramBytes = 32U << 10U;
constexpr std::size_t maxPrefixUsesPerSummary = 32;
constexpr std::size_t maxSuspectsPerSummary = 8;
constexpr std::size_t maxNoticesPerSummary = 8;

bool isEmpty(const endpoint_load &load)
{
    return load.running == 0 && load.promptTokens < 1;
}

/// Applies one change to the state of the data path.
struct event_applier
{
    edge_context &context;

    void operator()(const view_reset & /*event*/) const
    {
        context.endpoints.clearPeerLoads();
        context.peers.clear();
        context.sums.clearOthers();
    }

    void operator()(const load_entry &entry) const
    {
        context.endpoints.setPeerLoad(entry);
    }

    void operator()(const daemon_entry &entry) const
    {
        if (entry.id == context.settings.id) {
            return;
        }
        if (!entry.status) {
            if (context.peers.erase(entry.id) > 0) {
                auto line = context.line("peer_lost");
                line.add("peer", entry.id);
                context.log.write(line);
            }
            return;
        }
        if (!context.members.contains(entry.id)) {
            context.unknownSender = true;
        }
        context.reportedBefore = std::max(context.reportedBefore, entry.status->reportedBefore);
        if (const auto [found, added] = context.peers.insert_or_assign(entry.id, *entry.status); added) {
            auto line = context.line("peer_heard");
            line.add("peer", entry.id).add("serving", entry.status->serving);
            context.log.write(line);
        }
    }

    void operator()(const prefix_use &use) const
    {
        context.prefixBlocks.noteUse({use.prefixBlock, use.tokens}, use.engine);
        context.prefixBlocks.noteUnsharedSuffix(use.engine, use.unsharedTokens);
    }

    void operator()(const suspect_report &suspect) const
    {
        context.suspects.merge(suspect, bootNow());
    }

    void operator()(const notice_report &report) const
    {
        if (applyReport(context.endpoints, report, bootNow())) {
            auto line = context.line("endpoint_reported");
            line.add("endpoint", context.endpoints.findByHash(report.endpoint)->entry.id).add("leaving", report.leaving);
            line.add("limit_per_s", report.limit.value_or(-1)).add("age_ms", report.ageMs);
            context.log.write(line);
        }
    }

    void operator()(const engine_reserved &reserved) const
    {
        if (const auto engine = context.endpoints.findByHash(reserved.engine)) {
            engine->reservedUntil = std::max(engine->reservedUntil, bootNow() + reservationLifetime);
        }
    }

    void operator()(const sum_entry &sum) const
    {
        context.sums.setOthers(sum);
    }
};

void send(edge_context &context, udp::socket &socket, const std::vector<outgoing_message> &messages)
{
    for (const auto &[id, message] : messages) {
        const auto member = context.members.find(id);
        const auto target = member == context.members.end() ? absl::NotFoundError("no member") : parseAddress(member->second.address);
        if (!target.ok()) {
            continue;
        }
        const std::string datagram = encodeExchange(message);
        boost::system::error_code error;
        socket.send_to(asio::buffer(datagram), udp::endpoint(target->address(), target->port()), 0, error);
        // The link is full or the peer is gone. No retry: the next message is more recent than a repeated one.
        if (!error) {
            context.counters.count(metric_counter::ControlBytesSent, datagram.size());
        } else {
            context.counters.count(metric_counter::PeerFailures);
        }
    }
}

const std::string &senderOf(const exchange_message &message)
{
    return std::visit(
        [](const auto &content) -> const std::string & {
            return content.sender;
        },
        message);
}

// Messages are accepted from members only, each from its own address.
bool isFromMember(edge_context &context, const exchange_message &message, const udp::endpoint &sender)
{
    const auto member = context.members.find(senderOf(message));
    if (member == context.members.end()) {
        context.unknownSender = true;
        return false;
    }
    return member->first != context.settings.id && member->second.address == absl::StrCat(sender.address().to_string(), ":", sender.port());
}

// Usage of windows before this one is not reported any more.
std::int64_t oldestReportableWindow(const edge_context &context)
{
    const auto time = context.settings.usageDue + 2 * context.settings.usageWindow;
    return context.usage.windowAt(context.correctedTimeMs() - std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}

daemon_summary makeSummary(edge_context &context)
{
    refreshQuotas(context);
    daemon_summary out{.serving = context.serving(), .holdsLease = context.holdsLease, .wallMs = wallMs()};
    // Daemons that start after a restore can't learn it from the store. Those that have heard of it tell it too.
    if (context.reportedBefore != 0 && context.reportedBefore > oldestReportableWindow(context)) {
        out.reportedBefore = context.reportedBefore;
    }
    for (const auto &endpoint : context.endpoints.all()) {
        if (!isEmpty(endpoint->own)) {
            // Whole tokens, so that sums of many loads are exact.
            out.loads.push_back({endpoint->hash, {endpoint->own.running, std::round(endpoint->own.promptTokens)}});
        }
    }
    auto &unsent = context.unsentPrefixUses;
    if (unsent.size() > maxPrefixUsesPerSummary) {
        unsent.erase(unsent.begin(), unsent.end() - maxPrefixUsesPerSummary);
    }
    out.prefixUses = std::exchange(unsent, {});
    out.suspects = context.suspects.reports(maxSuspectsPerSummary, bootNow());
    out.reserved = context.reserved;
    out.notices = selectReports(context.endpoints, maxNoticesPerSummary, context.nextNotice, bootNow());
    if (context.settings.fairAdmission) {
        context.admission.meter.publish(context.sums, bootNow());
    } else {
        context.admission.meter.withdraw(context.sums); // The setting may have changed.
    }
    out.sums = context.sums.takeDue(bootNow());
    return out;
}

void applyExchangeEvents(edge_context &context)
{
    for (const auto &event : context.exchange.takeEvents()) {
        std::visit(event_applier{context}, event);
    }
}

void updateMembers(edge_context &context, std::map<std::string, member_entry, std::less<>> members)
{
    context.members = std::move(members);
    std::vector<exchange_member> exchanging;
    exchanging.reserve(context.members.size());
    for (const auto &[id, member] : context.members) {
        exchanging.push_back({id, member.failureDomain, member.capacity});
    }
    context.exchange.setMembers(std::move(exchanging), bootNow());
    applyExchangeEvents(context);
    context.exchangeTimer.cancel();
}

void expediteSummary(edge_context &context)
{
    context.exchange.expedite(bootNow());
    context.exchangeTimer.cancel();
}

void expediteSummary(edge_context &context, double promptTokens)
{
    if (promptTokens >= loadUpdateTokens) {
        expediteSummary(context);
    }
}

void announcePrefix(edge_context &context, std::span<const prefix_block> shared, double unsharedTokens, std::uint64_t engine)
{
    const double sharedTokens = std::accumulate(shared.begin(), shared.end(), 0.0, [](double sum, const prefix_block &block) {
        return sum + block.tokens;
    });
    const instant now = bootNow();
    auto &recent = context.announcedPrefixes;
    if (recent.size() > maxRecentAnnouncements) {
        recent.clear();
    }
    for (std::size_t i = 0; i < shared.size(); ++i) {
        context.prefixBlocks.noteUse(shared[i], engine);
        const bool last = i + 1 == shared.size();
        auto &announcedAt = recent[{shared[i].id, engine}];
        const bool due = last || announcedAt == instant{} || now - announcedAt > announceInterval;
        if (sharedTokens >= announcedPrefixTokens && due) {
            announcedAt = now;
            context.unsentPrefixUses.push_back({shared[i].id, engine, shared[i].tokens, last ? unsharedTokens : 0});
        }
    }
    context.prefixBlocks.noteUnsharedSuffix(engine, unsharedTokens);
}

task<void> sendExchange(edge_context &context, udp::socket &socket)
{
    const auto summary = [&context] {
        return makeSummary(context);
    };
    while (true) {
        context.exchangeDue = context.exchange.nextDue();
        if (const auto wait = context.exchangeDue - bootNow(); wait > duration::zero()) {
            context.exchangeTimer.expires_after(wait);
            boost::system::error_code ignored; // The timer is cancelled when something becomes due earlier.
            co_await context.exchangeTimer.async_wait(errorTo(ignored));
            continue;
        }
        send(context, socket, context.exchange.tick(summary, bootNow(), wallMs()));
        applyExchangeEvents(context);
    }
}

task<void> receiveExchange(edge_context &context, udp::socket &socket)
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
        const auto message = parseExchange(std::string_view(buffer).substr(0, size));
        if (!message.ok()) {
            auto line = context.line("exchange_unreadable");
            line.add("peer", sender.address().to_string()).add("error", message.status().ToString());
            context.log.write(line);
            continue;
        }
        if (isFromMember(context, *message, sender)) {
            send(context, socket, context.exchange.receive(*message, bootNow(), wallMs()));
            applyExchangeEvents(context);
            if (context.exchange.nextDue() < context.exchangeDue) {
                context.exchangeTimer.cancel();
            }
        }
    }
}

}
