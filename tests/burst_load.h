#pragma once

#include "serving/placement.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Load of long and short prompts, whose rates peak alternately in short bursts.
struct burst_load
{
    double seconds = 30;
    double burstSeconds = 2.8; ///< Length of a burst of one kind, after which the other kind bursts.
    double burstFactor = 1.7;
    double lullFactor = 0.57;
    double longPerSecond = 12.4;
    double shortPerSecond = 124;
    int sharedPrefixes = 102; ///< Number of different prefixes that long prompts share.
    std::uint64_t seed = 1;
};

/// Outcomes of the requests of one kind.
struct kind_outcome
{
    int requested = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int refusedHeldMs = 0; ///< Longest time before a refusal.
};

struct load_outcome
{
    kind_outcome longPrompts;
    kind_outcome shortPrompts;
    double sharedTokensRecomputed = 0;
};

/// Simulates engines that prefill prompts one after another and cache shared prefixes. It shares no code with the placement under test.
class simulated_fleet
{
public:
    struct engine
    {
        endpoint_role role = endpoint_role::Decode;
        bool local = true;
        double busyUntilMs = 0; ///< End of the queued prefill work.
        double queuedTokens = 0;
        std::set<int> cachedPrefixes;
        std::vector<double> runningUntilMs;
    };

    using policy = std::function<generation_result(const generation_input &)>;

    simulated_fleet(int prefillEngines, int decodeEngines)
    {
        for (int i = 0; i < prefillEngines + decodeEngines; ++i) {
            m_engines.push_back({.role = i < prefillEngines ? endpoint_role::Prefill : endpoint_role::Decode, .local = i % 3 == 0});
        }
    }

    /// Runs the load. The policy places every request, with the state that a daemon would see as its input.
    load_outcome run(const burst_load &load, const policy &place)
    {
        std::mt19937_64 random(load.seed);
        load_outcome out;
        std::set<int> computedBefore;
        for (double now = 0; now < load.seconds * 1000;) {
            const bool longBurst = static_cast<int>(now / 1000 / load.burstSeconds) % 2 == 0;
            const double longRate = load.longPerSecond * (longBurst ? load.burstFactor : load.lullFactor);
            const double shortRate = load.shortPerSecond * (longBurst ? load.lullFactor : load.burstFactor);
            now += std::exponential_distribution<double>(longRate + shortRate)(random) * 1000;
            const bool isLong = std::uniform_real_distribution<double>(0, longRate + shortRate)(random) < longRate;
            const int prefix = isLong ? std::uniform_int_distribution<int>(0, load.sharedPrefixes - 1)(random) : -1;
            serve(now, isLong, prefix, place, out, computedBefore, random);
        }
        return out;
    }

private:
    static constexpr double longPrefixTokens = 13300;
    static constexpr double longSuffixTokens = 3720;
    static constexpr double shortTokens = 380;

    void serve(double now, bool isLong, int prefix, const policy &place, load_outcome &out, std::set<int> &computedBefore, std::mt19937_64 &random)
    {
        auto &kind = isLong ? out.longPrompts : out.shortPrompts;
        ++kind.requested;
        generation_input input{
            .promptTokens = isLong ? longPrefixTokens + longSuffixTokens : shortTokens,
            .targetMs = isLong ? 600.0 : 300.0,
            .remainingMs = isLong ? 8000.0 : 4000.0,
            .kvTokenBytes = 18432,
            .linkMbps = 170000,
            .jitter = std::uniform_real_distribution<double>(0, 1)(random),
        };
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            auto &engine = m_engines[i];
            std::erase_if(engine.runningUntilMs, [&](double until) {
                return until <= now;
            });
            if (engine.busyUntilMs <= now) {
                engine.queuedTokens = 0;
            }
            const double leftMs = std::max(0.0, engine.busyUntilMs - now);
            input.engines.push_back({
                .id = std::to_string(i),
                .role = engine.role,
                .local = engine.local,
                .running = static_cast<int>(engine.runningUntilMs.size()),
                .slots = 64,
                .queuedTokens = leftMs / msPerToken(engine),
                .cachedTokens = prefix >= 0 && engine.cachedPrefixes.contains(prefix) ? longPrefixTokens : 0,
            });
        }
        const auto placed = place(input);
        if (placed.verdict == placement_verdict::Refuse) {
            ++kind.refused;
            return;
        }
        const int prefillerIndex = placed.prefillIndex >= 0 ? placed.prefillIndex : placed.decodeIndex;
        auto &prefiller = m_engines[static_cast<std::size_t>(prefillerIndex)];
        const bool cached = prefix >= 0 && prefiller.cachedPrefixes.contains(prefix);
        const bool fetched = !cached && placed.kvSourceIndex >= 0 && m_engines[static_cast<std::size_t>(placed.kvSourceIndex)].cachedPrefixes.contains(prefix);
        const double tokensToPrefill = input.promptTokens - (cached || fetched ? longPrefixTokens : 0);
        if (isLong && !cached && !fetched && !computedBefore.insert(prefix).second) {
            out.sharedTokensRecomputed += longPrefixTokens;
        }
        const double prefillStart = std::max(now + (fetched ? 20.0 : 0.0), prefiller.busyUntilMs);
        prefiller.busyUntilMs = prefillStart + tokensToPrefill * msPerToken(prefiller);
        if (placed.prefillIndex >= 0) {
            prefiller.runningUntilMs.push_back(prefiller.busyUntilMs);
        }
        if (prefix >= 0) {
            prefiller.cachedPrefixes.insert(prefix);
        }
        double first = prefiller.busyUntilMs - now + 61;
        auto &decoder = m_engines[static_cast<std::size_t>(placed.decodeIndex)];
        if (placed.prefillIndex >= 0) {
            first += 8 + input.promptTokens * 18432 * 8 / 170e6 + 15;
        }
        decoder.runningUntilMs.push_back(now + first + (isLong ? 200 : 80));
        ++(first <= input.targetMs ? kind.onTime : kind.late);
    }

    static double msPerToken(const engine &candidate)
    {
        return candidate.role == endpoint_role::Prefill ? 1 / 54.6 + 5.6 / 1024 : 2 / 54.6 + 6.5 / 256;
    }

    std::vector<engine> m_engines;
};

}
