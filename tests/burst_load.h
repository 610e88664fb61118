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

/// Two kinds of generations whose rates swing against each other in short bursts.
struct burst_load
{
    double seconds = 30;
    double burstSeconds = 2.8; ///< Then the other kind has its burst.
    double burstFactor = 1.7;
    double lullFactor = 0.57;
    double longPerSecond = 12.4;
    double shortPerSecond = 124;
    int sharedParts = 102; ///< Of the long prompts.
    std::uint64_t seed = 1;
};

/// What the callers of one kind got.
struct kind_outcome
{
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int refusedHeldMs = 0; ///< Longest time before a refusal.
};

struct load_outcome
{
    kind_outcome longPrompts;
    kind_outcome shortPrompts;
    double sharedTokensReadAgain = 0;
};

/// A small model of engines that read prompts in turn and know which parts they keep. It shares no code with the decision under test.
class modelled_fleet
{
public:
    struct engine
    {
        endpoint_role role = endpoint_role::Decode;
        bool local = true;
        double busyUntilMs = 0; ///< Reading.
        double queuedTokens = 0;
        std::set<int> parts;
        std::vector<double> runningUntilMs;
    };

    using policy = std::function<generation_result(const generation_input &)>;

    modelled_fleet(int readers, int outputs)
    {
        for (int i = 0; i < readers + outputs; ++i) {
            m_engines.push_back({.role = i < readers ? endpoint_role::Prefill : endpoint_role::Decode, .local = i % 3 == 0});
        }
    }

    /// Plays the load; every request is placed by the policy with what daemons would know.
    load_outcome play(const burst_load &load, const policy &place)
    {
        std::mt19937_64 random(load.seed);
        load_outcome out;
        std::set<int> readBefore;
        for (double at = 0; at < load.seconds * 1000;) {
            const bool longBurst = static_cast<int>(at / 1000 / load.burstSeconds) % 2 == 0;
            const double longRate = load.longPerSecond * (longBurst ? load.burstFactor : load.lullFactor);
            const double shortRate = load.shortPerSecond * (longBurst ? load.lullFactor : load.burstFactor);
            at += std::exponential_distribution<double>(longRate + shortRate)(random) * 1000;
            const bool isLong = std::uniform_real_distribution<double>(0, longRate + shortRate)(random) < longRate;
            const int part = isLong ? std::uniform_int_distribution<int>(0, load.sharedParts - 1)(random) : -1;
            serve(at, isLong, part, place, out, readBefore, random);
        }
        return out;
    }

private:
    static constexpr double longShared = 13300;
    static constexpr double longOwn = 3720;
    static constexpr double shortTokens = 380;

    void serve(double now, bool isLong, int part, const policy &place, load_outcome &out, std::set<int> &readBefore, std::mt19937_64 &random)
    {
        auto &kind = isLong ? out.longPrompts : out.shortPrompts;
        ++kind.asked;
        generation_input input{
            .promptTokens = isLong ? longShared + longOwn : shortTokens,
            .targetMs = isLong ? 600.0 : 300.0,
            .remainingMs = isLong ? 8000.0 : 4000.0,
            .kvTokenBytes = 18432,
            .linkMbps = 170000,
            .roll = std::uniform_real_distribution<double>(0, 1)(random),
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
                .cachedTokens = part >= 0 && engine.parts.contains(part) ? longShared : 0,
            });
        }
        const auto placed = place(input);
        if (placed.verdict == placement_verdict::Refuse) {
            ++kind.refused;
            return;
        }
        const int readerIndex = placed.prompt >= 0 ? placed.prompt : placed.output;
        auto &reader = m_engines[static_cast<std::size_t>(readerIndex)];
        const bool kept = part >= 0 && reader.parts.contains(part);
        const bool fetched = !kept && placed.fetchFrom >= 0 && m_engines[static_cast<std::size_t>(placed.fetchFrom)].parts.contains(part);
        const double toRead = input.promptTokens - (kept || fetched ? longShared : 0);
        if (isLong && !kept && !fetched && !readBefore.insert(part).second) {
            out.sharedTokensReadAgain += longShared;
        }
        const double begin = std::max(now + (fetched ? 20.0 : 0.0), reader.busyUntilMs);
        reader.busyUntilMs = begin + toRead * msPerToken(reader);
        if (placed.prompt >= 0) {
            reader.runningUntilMs.push_back(reader.busyUntilMs);
        }
        if (part >= 0) {
            reader.parts.insert(part);
        }
        double first = reader.busyUntilMs - now + 61;
        auto &output = m_engines[static_cast<std::size_t>(placed.output)];
        if (placed.prompt >= 0) {
            first += 8 + input.promptTokens * 18432 * 8 / 170e6 + 15;
        }
        output.runningUntilMs.push_back(now + first + (isLong ? 200 : 80));
        ++(first <= input.targetMs ? kind.onTime : kind.late);
    }

    static double msPerToken(const engine &one)
    {
        return one.role == endpoint_role::Prefill ? 1 / 54.6 + 5.6 / 1024 : 2 / 54.6 + 6.5 / 256;
    }

    std::vector<engine> m_engines;
};

}
