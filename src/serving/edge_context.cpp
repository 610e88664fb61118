#include "serving/edge_context.h"

#include "transport/boot_clock.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto keyMargin = std::chrono::milliseconds(300); // A request may wait this long in a socket before it is read on a slow machine.
constexpr auto shortestInterval = std::chrono::milliseconds(50); // Half of the time an engine takes for one long prompt.
constexpr auto intervalPerDaemon = std::chrono::milliseconds(5); // Keeps the datagrams of one daemon without news at 200 a second.
constexpr auto shortestSilence = std::chrono::seconds(1); // A shorter silence is the pause of a busy machine.
constexpr int silentSummaries = 3;

}

edge_context::edge_context(asio::io_context &io, edge_settings given, const platform_factory &makePlatform, line_log &lines)
    : loop(io)
    , settings(std::move(given))
    , log(lines)
    , pool(io)
    , platform(makePlatform(pool, settings))
    , random(std::random_device{}())
    , budget(settings.retries)
    , usage(std::chrono::duration_cast<std::chrono::milliseconds>(settings.usageWindow).count())
    , pace{.timer = asio::steady_timer(io)}
{
    incarnation = random();
}

log_line edge_context::line(std::string_view event) const
{
    return {wallMs(), event};
}

std::int64_t edge_context::trueTimeMs() const
{
    std::vector<std::int64_t> differences;
    const instant now = bootNow();
    for (const auto &[id, peer] : peers) {
        if (peer.heard && now - peer.heardAt <= peerSilence()) {
            differences.push_back(peer.clockDifferenceMs);
        }
    }
    return wallMs() + clockCorrection(std::move(differences));
}

double edge_context::roll()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

duration edge_context::summaryInterval() const
{
    return std::max<duration>(shortestInterval, intervalPerDaemon * static_cast<int>(members.size()));
}

duration edge_context::peerSilence() const
{
    return std::max<duration>(shortestSilence, silentSummaries * summaryInterval());
}

double edge_context::peerAgeMs() const
{
    const instant now = bootNow();
    double oldest = 0;
    for (const auto &[id, peer] : peers) {
        if (peer.heard) {
            oldest = std::max(oldest, toMs(now - peer.heardAt));
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
    // Stored members count even while they are not heard: they may be sending.
    return std::max(members.size(), std::size_t{1});
}

bool edge_context::serving() const
{
    return configuration && endpointsListed && !stopping && keysFresh(bootNow());
}

bool edge_context::keysFresh(instant now) const
{
    return configurationAskedAt && now - *configurationAskedAt < settings.revokeBound - keyMargin;
}

}
