#include "coordination/bench_workload.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double prefillTokensPerSecond = 8000;
constexpr double decodeTokensPerSecond = 2600;
constexpr double nonRepeatableFraction = 0.02;
constexpr int manualCount = 60; // All manuals together exceed the KV memory of one engine.
constexpr double burstLoadEngines = 24; // Twice the capacity of the fleet.
constexpr double manualTokens = 3600;

/// Returns the value of a triangle wave between -1 and 1.
double triangle(double atMs, double periodMs)
{
    const double phase = atMs / periodMs - static_cast<double>(static_cast<long long>(atMs / periodMs));
    return phase < 0.5 ? 4 * phase - 1 : 3 - 4 * phase;
}

double prefillFractionAt(const bench_workload &workload, double atMs)
{
    return workload.swingPeriodMs > 0 ? workload.prefillFraction + workload.swing * triangle(atMs, workload.swingPeriodMs) : workload.prefillFraction;
}

double engineSeconds(const bench_request &request)
{
    return request.promptTokens / prefillTokensPerSecond + request.outputTokens / decodeTokensPerSecond;
}

/// Draws a request with a long prompt. With shared prefixes the prompt is a question about a manual; otherwise every prompt is new.
bench_request longPromptRequest(const bench_workload &workload, bench_random &random)
{
    if (!workload.sharedPrefixes) {
        return {.promptTokens = 2000 + 1000 * random.uniform(), .outputTokens = 40 + random.below(20)};
    }
    const int manual = std::min(random.below(manualCount), random.below(manualCount)); // The smaller of two draws, so that a few manuals are requested most.
    return {.promptTokens = manualTokens + 100 + 200 * random.uniform(), .prefixTokens = manualTokens, .prefix = manual, .outputTokens = 40 + random.below(20)};
}

bench_request shortPromptRequest(bench_random &random)
{
    return {.promptTokens = 150 + 200 * random.uniform(), .outputTokens = 200 + random.below(100), .repeatable = random.uniform() >= nonRepeatableFraction};
}

/// Draws whether the next request has a long prompt, such that prefill takes `share` of the work. Requests of both kinds need some prefill and some decode.
bool drawIsLongPrompt(double share, bench_random &random)
{
    constexpr double longPrefill = 0.3125;
    constexpr double longDecode = 0.019;
    constexpr double shortPrefill = 0.031;
    constexpr double shortDecode = 0.096;
    const double ratio = share / (1 - share); // Prefill work for each unit of decode work.
    const double shortPerLong = (longPrefill - ratio * longDecode) / std::max(0.001, ratio * shortDecode - shortPrefill);
    return random.uniform() * (1 + std::max(0.0, shortPerLong)) < 1;
}

int drawOrganisation(const bench_workload &workload, bool burst, bench_random &random)
{
    if (burst) {
        return 0;
    }
    double total = 0;
    for (int organisation = 0; organisation < benchOrganisations; ++organisation) {
        total += benchWeight(workload, organisation);
    }
    double pick = random.uniform() * total;
    for (int organisation = 0; organisation < benchOrganisations; ++organisation) {
        pick -= benchWeight(workload, organisation);
        if (pick < 0) {
            return organisation;
        }
    }
    return benchOrganisations - 1;
}

bench_request drawRequest(const bench_workload &workload, double atMs, bench_random &random)
{
    bench_request request = drawIsLongPrompt(prefillFractionAt(workload, atMs), random) ? longPromptRequest(workload, random) : shortPromptRequest(random);
    request.arrivalMs = atMs;
    return request;
}

/// Adds the requests of one source. The gap after each request is proportional to its work, so the offered load does not depend on the mix.
void addSource(std::vector<bench_request> &requests,
               const bench_workload &workload,
               double loadEngines,
               bool burst,
               double fromMs,
               double toMs,
               bench_random random)
{
    for (double atMs = fromMs; atMs < toMs;) {
        bench_request request = drawRequest(workload, atMs, random);
        request.organisation = drawOrganisation(workload, burst, random);
        requests.push_back(request);
        atMs += engineSeconds(request) / loadEngines * 1000.0 * 2 * random.uniform();
    }
}

}

double benchWeight(const bench_workload &workload, int organisation)
{
    return organisation < 2 && !workload.burst ? 3 : 1;
}

std::vector<bench_request> benchRequests(const bench_workload &workload, std::uint64_t seed)
{
    std::vector<bench_request> requests;
    addSource(requests, workload, workload.loadEngines, false, 0, workload.durationMs, bench_random(seed));
    if (workload.burst) {
        addSource(requests, workload, burstLoadEngines, true, workload.durationMs / 4, workload.durationMs * 3 / 4, bench_random(seed + 1));
    }
    if (workload.poison) {
        for (double atMs = 10000; atMs < workload.durationMs; atMs += 15000) {
            requests.push_back({.arrivalMs = atMs, .organisation = 5, .promptTokens = 300, .outputTokens = 50, .poison = true});
        }
    }
    std::ranges::stable_sort(requests, {}, &bench_request::arrivalMs);
    return requests;
}

std::vector<bench_workload> benchWorkloads()
{
    return {
        {.name = "swing in a minute", .durationMs = 180000, .swing = 0.2, .swingPeriodMs = 60000, .mixShifts = true},
        {.name = "swing over a day", .durationMs = 600000, .swing = 0.25, .swingPeriodMs = 600000, .mixShifts = true},
        {.name = "burst of one", .durationMs = 120000, .loadEngines = 4, .burst = true},
        {.name = "long manuals", .durationMs = 180000, .loadEngines = 14, .prefillFraction = 0.6, .sharedPrefixes = true},
        {.name = "lost in a change", .durationMs = 180000, .loadEngines = 7, .swing = 0.25, .swingPeriodMs = 180000, .crashDuringChange = true},
        {.name = "cheap reclaimed", .durationMs = 180000, .loadEngines = 5.5, .reclaimAtMs = 50000, .noReclaimableAfterReclaim = true},
        {.name = "lagging reports",
         .durationMs = 120000,
         .loadEngines = 12,
         .prefillFraction = 0.5,
         .sharedPrefixes = true,
         .reportDelayMs = 5000,
         .cacheEventLossRate = 0.3},
        {.name = "poison prompt", .durationMs = 120000, .loadEngines = 6.5, .poison = true},
        {.name = "store down", .durationMs = 720000, .loadEngines = 7, .swing = 0.1, .swingPeriodMs = 240000, .storeDownFromMs = 60000, .storeDownMs = 600000},
    };
}

std::vector<bench_variant> benchVariants()
{
    return {
        {.name = "chosen"},
        {.name = "round robin", .routing = round_robin_routing{}, .roles = fixed_roles{}},
        {.name = "least load", .routing = least_load_routing{}},
        {.name = "cache-blind", .routing = cost_routing{.useCache = false}},
        {.name = "fixed roles", .roles = fixed_roles{}},
        {.name = "follow mix", .roles = follow_mix_roles{}},
        {.name = "no fairness", .admission = first_come_admission{}},
        {.name = "ordinary only", .provision = ordinary_only_provision{}},
    };
}

}
