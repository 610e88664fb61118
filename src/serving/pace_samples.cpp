#include "serving/pace_samples.h"

#include "serving/placement_log.h"
#include "state/rendezvous.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr double minWorkMs = 10; // By the model. The time of a shorter prefill depends more on the network than on the engine.
constexpr std::size_t maxPublished = 4; // Engines per daemon, with two sums each: half of the sums that endpoints may take up in a summary.
constexpr int minEvents = 8; // Of a shorter stream, the first gap weighs too much: its batch may still prefill other prompts.

// The figure during a piece of work is taken as the mean of the figures at its ends.
double figureDuring(const endpoint_state &endpoint, double figureBefore, instant now)
{
    return (figureBefore + endpoint.pace.figure(now)) / 2;
}

}

void noteLoadFigures(edge_context &context, endpoint_state &endpoint, const load_figures &load)
{
    if (!load.pace) {
        return;
    }
    context.counters.count(metric_counter::PaceFigures);
    if (context.endpoints.notePace(endpoint, *load.pace, bootNow())) {
        auto line = context.line("uneven_pace");
        line.add("service", endpoint.entry.service).add("endpoint", endpoint.entry.id).add("pace", *load.pace);
        context.log.write(line);
    }
}

std::optional<uneven_pace> makeUnevenPace(edge_context &context, std::string_view service, instant now)
{
    if (!context.endpoints.hasUnevenPace(service, now)) {
        return std::nullopt;
    }
    context.counters.count(metric_counter::UnevenPlacements);
    const auto correction = context.endpoints.servicePace(service).correction(context.settings.engines.firstTokenOverheadMs);
    return uneven_pace{
        .choice = static_cast<std::uint32_t>(context.random()), .overheadMs = toTenth(correction.overheadMs), .work = toHundredth(correction.work)};
}

void sharePaces(edge_context &context)
{
    const instant now = bootNow();
    std::map<std::uint64_t, endpoint_ptr> byWeight;
    for (const auto &endpoint : context.endpoints.all()) {
        if (!endpoint->entry.role || !context.endpoints.hasUnevenPace(endpoint->entry.service, now)) {
            continue;
        }
        endpoint->pace.setOthers({.weight = context.sums.others(sumKey(sum_purpose::PrefillSamples, endpoint->hash)),
                                  .sum = context.sums.others(sumKey(sum_purpose::PrefillRatios, endpoint->hash))});
        if (endpoint->pace.prefills().weight > 0) {
            byWeight.emplace(rendezvousWeight(endpoint->entry.id, context.settings.id), endpoint);
        }
    }
    const auto before = std::exchange(context.publishedPaces, {});
    const auto publish = [&](sum_purpose purpose, std::uint64_t hash, double value) {
        context.publishedPaces.push_back(sumKey(purpose, hash));
        context.sums.setOwn(context.publishedPaces.back(), value);
    };
    for (auto it = byWeight.rbegin(); it != byWeight.rend() && context.publishedPaces.size() < 2 * maxPublished; ++it) {
        const auto &own = it->second->pace.prefills();
        publish(sum_purpose::PrefillSamples, it->second->hash, own.weight);
        publish(sum_purpose::PrefillRatios, it->second->hash, own.sum);
    }
    for (const auto key : before) {
        if (std::ranges::find(context.publishedPaces, key) == context.publishedPaces.end()) {
            context.sums.setOwn(key, 0);
        }
    }
}

prompt_timer startPromptTimer(const endpoint_ptr &engine, double tokens, double cachedTokens, instant sentAt)
{
    return {.engine = engine,
            .sentAt = sentAt,
            .figure = engine->pace.figure(sentAt),
            .tokens = tokens,
            .cachedTokens = cachedTokens,
            .running = engine->own.running + engine->peers.running,
            .wasQueued = engine->own.promptTokens + engine->peers.promptTokens > 0};
}

void notePromptTime(edge_context &context, const prompt_timer &timer, instant now)
{
    auto &engine = *timer.engine;
    const auto &model = context.settings.engines;
    const double workMs = prefillMs(model, engine.entry.role.value_or(endpoint_role::Mixed), timer.tokens, timer.cachedTokens, timer.running);
    if (timer.wasQueued || workMs < minWorkMs) {
        return;
    }
    context.endpoints.servicePace(engine.entry.service)
        .noteFirstEvent(engine.pace,
                        {.workMs = workMs,
                         .elapsedMs = toMs(now - timer.sentAt),
                         .overheadMs = model.firstTokenOverheadMs,
                         .figure = figureDuring(engine, timer.figure, now)});
}

void noteEventTimes(edge_context &context, endpoint_state &engine, const event_times &times)
{
    if (times.events < minEvents) {
        return;
    }
    const auto &model = context.settings.engines;
    const double gapMs = toMs(times.last - times.first) / (times.events - 1);
    const double ratio = gapMs / (model.stepMs + model.stepMsPerRequest * (engine.own.running + engine.peers.running));
    // The figure reported at the start of a stream is old at its end; figure() accounts for its age.
    context.endpoints.servicePace(engine.entry.service).noteStep(engine.pace, ratio, engine.pace.figure(times.last));
}

call_timer startCallTimer(const endpoint_state &endpoint, instant sentAt)
{
    return {.sentAt = sentAt,
            .figure = endpoint.pace.figure(sentAt),
            .wasFull = endpoint.own.running + endpoint.peers.running >= std::max(1, endpoint.entry.slots)};
}

void noteCallTime(edge_context &context, endpoint_state &endpoint, std::string_view route, const call_timer &timer, instant now)
{
    if (timer.wasFull) {
        return;
    }
    const double figure = figureDuring(endpoint, timer.figure, now);
    context.endpoints.servicePace(endpoint.entry.service).noteCall(endpoint.pace, route, toMs(now - timer.sentAt), figure);
}

}
