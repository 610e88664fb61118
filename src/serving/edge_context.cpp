#include "serving/edge_context.h"

#include "transport/boot_clock.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto keyMargin = std::chrono::milliseconds(300); // A request may wait this long in a socket before it is read on a slow machine.
constexpr auto peerSilence = std::chrono::seconds(1); // Several summaries.

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
        if (peer.heard && now - peer.heardAt <= peerSilence) {
            differences.push_back(peer.clockDifferenceMs);
        }
    }
    return wallMs() + clockCorrection(std::move(differences));
}

double edge_context::roll()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
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
