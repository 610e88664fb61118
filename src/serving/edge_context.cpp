#include "serving/edge_context.h"

#include "transport/boot_clock.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto keyMargin = std::chrono::milliseconds(300); // On a slow machine, a request may wait this long in its socket before it is read.
constexpr auto minSummaryInterval = std::chrono::milliseconds(50); // Half of the prefill time of one long prompt.
constexpr auto summaryIntervalPerDaemon = std::chrono::milliseconds(5); // Limits a daemon without load updates to 200 datagrams per second.
constexpr auto minPeerTimeout = std::chrono::seconds(1); // Shorter gaps occur on a busy machine.
constexpr int missedSummaryLimit = 3;

}

edge_context::edge_context(asio::io_context &io, edge_settings initialSettings, const platform_factory &makePlatform, line_log &lines)
    : loop(io)
    , settings(std::move(initialSettings))
    , log(lines)
    , pool(io)
    , platform(makePlatform(pool, settings))
    , random(std::random_device{}())
    , retryBudget(settings.retries)
    , usage(std::chrono::duration_cast<std::chrono::milliseconds>(settings.usageWindow).count())
    , summarySchedule{.timer = asio::steady_timer(io)}
{
    incarnation = random();
}

log_line edge_context::line(std::string_view event) const
{
    return {wallMs(), event};
}

std::int64_t edge_context::correctedTimeMs() const
{
    std::vector<std::int64_t> differences;
    const instant now = bootNow();
    for (const auto &[id, peer] : peers) {
        if (peer.alive && now - peer.lastReceivedAt <= peerTimeout()) {
            differences.push_back(peer.clockDifferenceMs);
        }
    }
    return wallMs() + clockCorrection(std::move(differences));
}

double edge_context::jitter()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

duration edge_context::summaryInterval() const
{
    return std::max<duration>(minSummaryInterval, summaryIntervalPerDaemon * static_cast<int>(members.size()));
}

duration edge_context::peerTimeout() const
{
    return std::max<duration>(minPeerTimeout, missedSummaryLimit * summaryInterval());
}

double edge_context::peerAgeMs() const
{
    const instant now = bootNow();
    double oldest = 0;
    for (const auto &[id, peer] : peers) {
        if (peer.alive) {
            oldest = std::max(oldest, toMs(now - peer.lastReceivedAt));
        }
    }
    return oldest;
}

std::vector<std::string> edge_context::memberIds() const
{
    std::vector<std::string> ids;
    ids.reserve(members.size());
    for (const auto &[id, address] : members) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t edge_context::daemons() const
{
    // Members without recent summaries count too: they may still send requests to endpoints.
    return std::max(members.size(), std::size_t{1});
}

bool edge_context::serving() const
{
    return configuration && endpointsListed && !stopping && keysFresh(bootNow());
}

bool edge_context::keysFresh(instant now) const
{
    return configurationRequestedAt && now - *configurationRequestedAt < settings.revokeBound - keyMargin;
}

}
