#include "serving/edge_context.h"

#include "transport/boot_clock.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double heldBodiesShare = 0.35; // Of the memory, for answers that are kept back until they are complete. While one grows, it may exist twice.
constexpr auto keyMargin = std::chrono::milliseconds(300); // On a slow machine, a request may wait this long in its socket before it is read.

}

edge_context::edge_context(asio::io_context &io, edge_settings initialSettings, const platform_factory &makePlatform, line_log &lines)
    : loop(io)
    , settings(std::move(initialSettings))
    , log(lines)
    , pool(io)
    , platform(makePlatform(pool, settings))
    , random(std::random_device{}())
    , incarnation(random())
    , retryBudget(settings.retries)
    , usage(std::chrono::duration_cast<std::chrono::milliseconds>(settings.usageWindow).count())
    , exchange(settings.id, settings.failureDomain, incarnation)
    , exchangeTimer(io)
    , quotas(settings.quotaWindow, random(), bootNow())
{
    applyMemorySetting(*this);
}

log_line edge_context::line(std::string_view event) const
{
    return {wallMs(), event};
}

std::int64_t edge_context::correctedTimeMs() const
{
    std::vector<std::int64_t> differences;
    differences.reserve(peers.size());
    for (const auto &[id, peer] : peers) {
        differences.push_back(peer.clockDifferenceMs + exchange.sourceClockDifferenceMs());
    }
    return wallMs() + clockCorrection(std::move(differences));
}

double edge_context::jitter()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
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

quota_fleet edge_context::quotaFleet() const
{
    std::size_t heard = 1;
    // Both are in the order of their ids. Only members count: another sender may have left.
    auto peer = peers.begin();
    for (const auto &[id, member] : members) {
        while (peer != peers.end() && peer->first < id) {
            ++peer;
        }
        heard += peer != peers.end() && peer->first == id ? 1 : 0;
    }
    return {.daemons = daemons(), .heard = heard, .ageMs = exchange.ageMs(bootNow())};
}

void applyMemorySetting(edge_context &context)
{
    context.pool.bodies()->setLimit(static_cast<std::size_t>(context.settings.memoryMb * heldBodiesShare) << 20U);
}

void noteHistory(edge_context &context)
{
    const auto newest = context.platform.store.history();
    if (newest == context.storeHistory) {
        return;
    }
    if (context.storeHistory != 0) {
        context.storeRestoredAt = bootNow();
        context.membersUnread = context.membersUnread || !context.configuration;
        context.configurationVouched = context.configurationRequestedAt.has_value();
        auto line = context.line("store_restored");
        line.add("from_history", context.storeHistory).add("to_history", newest);
        context.log.write(line);
    }
    context.storeHistory = newest;
}

void noteHeldConfiguration(edge_context &context, std::uint64_t version)
{
    if (version == 0) {
        return;
    }
    context.configurationVouched = true;
    if (version > context.configurationFloor) {
        context.configurationFloor = version;
        context.configurationFloorAt = bootNow();
    }
    if (context.configuration && context.configuration->version < requiredConfiguration(context)) {
        context.configurationRequestedAt.reset(); // The newer one may have withdrawn keys.
    }
}

std::uint64_t requiredConfiguration(const edge_context &context)
{
    const bool floorHolds = bootNow() - context.configurationFloorAt < configurationFloorTime;
    return std::max(context.configuration ? context.configuration->version : 0, floorHolds ? context.configurationFloor : 0);
}

}
