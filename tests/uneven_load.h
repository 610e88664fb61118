#pragma once

#include "serving/endpoint_pace.h"
#include "serving/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace lacewinglock
{

/// Endpoints and load of one run of uneven_fleet.
struct uneven_load
{
    bool uneven = true; ///< Speeds 0.6, 1.0 and 1.6, and 15% of the endpoints 2.5 times slower for 600 ms. Otherwise equal ones of the same total speed.
    bool usePace = true; ///< Otherwise placement as for services of even pace.
    bool figuresOfOthers = true; ///< Daemons have the figures that any of them has heard, as late as the loads. Otherwise only their own.
    std::size_t daemons = 84;
    std::array<int, 3> machines{20, 40, 15}; ///< Prefill engines, decode engines, plain endpoints.
    std::array<double, 3> perSecond{22, 450, 1000}; ///< Prompts of 17,000 tokens, prompts of 380 tokens, calls of 30 to 60 ms.
    double warmUpMs = 30'000; ///< Not counted: the daemons learn.
    double endMs = 90'000;
    std::uint64_t seed = 1;
};

/// Results of the requests of one kind.
struct kind_result
{
    std::vector<double> firstMs;
    int refused = 0;
    double busiestSum = 0; ///< Sampled: the most running requests of an endpoint against the mean over those of the kind.
    int samples = 0;

    void add(const kind_result &other)
    {
        firstMs.insert(firstMs.end(), other.firstMs.begin(), other.firstMs.end());
        refused += other.refused;
        busiestSum += other.busiestSum;
        samples += other.samples;
    }
    double busiestToMean() const
    {
        return busiestSum / samples;
    }
    double quantile(double part)
    {
        std::ranges::sort(firstMs);
        return firstMs.empty() ? 0 : firstMs[static_cast<std::size_t>(part * static_cast<double>(firstMs.size() - 1))];
    }
};

/// Simulates endpoints whose work takes a time that changes, and daemons that each see a part of the requests and know the load of the others 30 to 300 ms
/// late. Its engines share no code with the model of placement and differ from it as those of a real deployment do.
class uneven_fleet
{
public:
    enum request_kind : std::size_t {
        Long,
        Short,
        Plain
    };

    explicit uneven_fleet(const uneven_load &load)
        : m_load(load)
        , m_random(load.seed)
        , m_views(load.daemons)
    {
        for (const auto kind : {Long, Short, Plain}) {
            for (int i = 0; i < load.machines[kind]; ++i) {
                auto &made = m_machines.emplace_back(machine{.kind = kind, .domain = m_machines.size() / 3 % 3});
                made.speed = load.uneven ? std::array{0.6, 1.0, 1.6}[m_machines.size() % 3] : equalSpeed;
                made.freeAt.resize(kind == Plain ? plainSlots : 1);
                for (double at = exponential(normalMs); load.uneven && at < load.endMs + 5000; at += slowMs + exponential(normalMs)) {
                    made.slowFrom.push_back(at);
                }
            }
        }
        for (auto &view : m_views) {
            view.of.resize(m_machines.size());
        }
    }

    std::array<kind_result, 3> run()
    {
        for (const auto kind : {Long, Short, Plain}) {
            arrive(kind, 0);
        }
        takeSnapshot(0);
        sharePrefills(0);
        while (m_events.top().at < m_load.endMs) {
            const auto next = m_events.top();
            m_events.pop();
            next.run(next.at);
        }
        return m_results;
    }

private:
    static constexpr double equalSpeed = (0.6 + 1.0 + 1.6) / 3 * (0.85 + 0.15 / 2.5);
    static constexpr double slowMs = 600;
    static constexpr double normalMs = slowMs * 0.85 / 0.15;
    static constexpr double snapshotMs = 15;
    static constexpr std::size_t snapshots = 20; // The oldest is 300 ms old.
    static constexpr std::size_t plainSlots = 8;
    static constexpr std::size_t published = 4; // Engines whose prefills one daemon publishes.

    struct load_of
    {
        int running = 0;
        double tokens = 0;
    };
    struct machine
    {
        request_kind kind = Long;
        std::size_t domain = 0;
        double speed = 1;
        std::vector<double> freeAt; ///< By slot.
        std::vector<double> slowFrom;

        double pace(double at) const
        {
            const auto next = std::ranges::upper_bound(slowFrom, at);
            return (next != slowFrom.begin() && at < *std::prev(next) + slowMs ? 2.5 : 1) / speed;
        }
    };
    struct known_machine
    {
        load_of own;
        double slowdown = 1;
        endpoint_pace pace;
        double heardAt = -1;
    };
    struct daemon_view
    {
        std::vector<known_machine> of;
        service_pace engines;
        service_pace plain;
    };
    /// What a daemon may know about a machine.
    struct published_load
    {
        load_of load;
        double figure = 1; ///< In the last answer to any daemon.
        double figureAt = -1;
        std::vector<load_of> own; ///< Part of each daemon in the load.
    };
    using snapshot = std::vector<published_load>;
    struct event
    {
        double at = 0;
        std::function<void(double)> run;
        bool operator<(const event &other) const
        {
            return at > other.at;
        }
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }
    static instant at(double ms)
    {
        return instant(fromMs(ms));
    }

    void arrive(request_kind kind, double now)
    {
        m_events.push({now + exponential(1000 / m_load.perSecond[kind]), [this, kind](double then) {
                           const std::size_t daemon = m_random() % m_views.size();
                           kind == Plain ? call(daemon, then) : generate(daemon, kind, then);
                           arrive(kind, then);
                       }});
    }

    void takeSnapshot(double now)
    {
        m_now.resize(m_machines.size());
        std::array<double, 3> most{};
        std::array<double, 3> sum{};
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            m_now[i].own.clear();
            for (const auto &view : m_views) {
                m_now[i].own.push_back(view.of[i].own);
            }
            const auto kind = m_machines[i].kind;
            most[kind] = std::max<double>(most[kind], m_now[i].load.running);
            sum[kind] += m_now[i].load.running;
        }
        m_snapshots.push_front(m_now);
        m_snapshots.resize(std::min(m_snapshots.size(), snapshots));
        for (const auto kind : {Long, Short, Plain}) {
            if (now >= m_load.warmUpMs && sum[kind] > 0) {
                m_results[kind].busiestSum += most[kind] * m_load.machines[kind] / sum[kind];
                ++m_results[kind].samples;
            }
        }
        m_events.push({now + snapshotMs, [this](double then) {
                           takeSnapshot(then);
                       }});
    }

    // Each daemon publishes its prefills at a few engines, and has the sums of the others a second later.
    void sharePrefills(double now)
    {
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            const auto own = [&](std::size_t daemon) {
                const bool publishes = (i + 7 * daemon) % static_cast<std::size_t>(m_load.machines[Long]) < published;
                return publishes ? m_views[daemon].of[i].pace.prefills() : ratio_sum();
            };
            ratio_sum all;
            for (std::size_t daemon = 0; daemon < m_views.size(); ++daemon) {
                all.weight += own(daemon).weight;
                all.sum += own(daemon).sum;
            }
            for (std::size_t daemon = 0; daemon < m_views.size(); ++daemon) {
                m_views[daemon].of[i].pace.setOthers({.weight = all.weight - own(daemon).weight, .sum = all.sum - own(daemon).sum});
            }
        }
        m_events.push({now + 1000, [this](double then) {
                           sharePrefills(then);
                       }});
    }

    // The load of a machine as a daemon knows it: its own part now, that of the others as of a snapshot. Updates the figure.
    load_of look(const snapshot &old, std::size_t daemon, std::size_t index)
    {
        auto &known = m_views[daemon].of[index];
        const auto &then = old[index];
        if (m_load.figuresOfOthers && then.figureAt > known.heardAt) {
            known.pace.noteFigure(then.figure, at(then.figureAt));
            known.heardAt = then.figureAt;
        }
        return {.running = known.own.running + then.load.running - then.own[daemon].running,
                .tokens = std::max(0.0, known.own.tokens + then.load.tokens - then.own[daemon].tokens)};
    }

    const snapshot &lateSnapshot()
    {
        return m_snapshots[std::min(static_cast<std::size_t>(uniform(2, snapshots)), m_snapshots.size() - 1)];
    }

    double paceOf(std::size_t daemon, std::size_t index, double work, double now) const
    {
        return m_load.usePace ? std::round(m_views[daemon].of[index].pace.estimate(at(now), work) * 100) / 100 : 1;
    }

    std::optional<uneven_pace> unevenPace(const model_correction &correction)
    {
        const auto choice = static_cast<std::uint32_t>(m_random());
        return m_load.usePace ? std::optional(uneven_pace{.choice = choice, .overheadMs = correction.overheadMs, .work = correction.work}) : std::nullopt;
    }

    // The end of work of `ms` at pace 1 that starts at `from`.
    static double finish(const machine &where, double from, double ms)
    {
        constexpr double stepMs = 2;
        for (; ms * where.pace(from) > stepMs; from += stepMs) {
            ms -= stepMs / where.pace(from);
        }
        return from + ms * where.pace(from);
    }

    double serve(std::size_t index, double now, double ms)
    {
        auto &slot = *std::ranges::min_element(m_machines[index].freeAt);
        slot = finish(m_machines[index], std::max(now, slot), ms);
        return slot;
    }

    void change(std::size_t daemon, std::size_t index, int running, double tokens)
    {
        for (auto *load : {&m_now[index].load, &m_views[daemon].of[index].own}) {
            load->running += running;
            load->tokens = std::max(0.0, load->tokens + tokens);
        }
    }

    endpoint_pace &answer(std::size_t daemon, std::size_t index, double now)
    {
        auto &known = m_views[daemon].of[index];
        m_now[index].figure = m_machines[index].pace(now) * m_machines[index].speed;
        m_now[index].figureAt = known.heardAt = now;
        known.pace.noteFigure(m_now[index].figure, at(now));
        return known.pace;
    }

    void finishRequest(request_kind kind, double arrivedAt, double firstAt)
    {
        if (arrivedAt >= m_load.warmUpMs) {
            m_results[kind].firstMs.push_back(firstAt - arrivedAt);
        }
    }

    // The engines need 93 ms before the first token and process 56 tokens per ms in steps of 6.45 ms and 2,048 tokens.
    static double workMs(bool isMixed, double tokens)
    {
        return tokens * (isMixed ? 2 : 1) / 56 + std::ceil(tokens / (isMixed ? 512 : 2048)) * 6.45 + tokens * tokens / 8e6;
    }

    void generate(std::size_t daemon, request_kind kind, double now)
    {
        const double tokens = kind == Long ? 17'000 : 380;
        generation_input input{.promptTokens = tokens,
                               .targetMs = kind == Long ? 1200.0 : 500.0,
                               .remainingMs = kind == Long ? 8000.0 : 4000.0,
                               .kvTokenBytes = 18432,
                               .linkMbps = 170000,
                               .uneven = unevenPace(m_views[daemon].engines.correction(m_model.firstTokenOverheadMs))};
        const auto &old = lateSnapshot();
        for (std::size_t i = 0; m_machines[i].kind != Plain; ++i) {
            const auto load = look(old, daemon, i);
            input.engines.push_back({.role = m_machines[i].kind == Long ? endpoint_role::Prefill : endpoint_role::Decode,
                                     .local = m_machines[i].domain == daemon % 3,
                                     .running = load.running,
                                     .slots = 64,
                                     .queuedTokens = load.tokens,
                                     .slowdown = m_load.usePace ? 1 : m_views[daemon].of[i].slowdown,
                                     .pace = paceOf(daemon, i, input.uneven ? input.uneven->work : 1, now)});
        }
        const auto placed = placeGeneration(input, m_model);
        if (placed.verdict == placement_verdict::Refuse) {
            m_results[kind].refused += now >= m_load.warmUpMs ? 1 : 0;
            return;
        }
        const bool split = placed.prefillIndex >= 0;
        const auto writer = static_cast<std::size_t>(placed.decodeIndex);
        const auto reader = split ? static_cast<std::size_t>(placed.prefillIndex) : writer;
        const auto seen = input.engines[reader];
        const double figure = m_views[daemon].of[reader].pace.figure(at(now));
        change(daemon, reader, 1, tokens);
        m_events.push({serve(reader, now, workMs(m_machines[reader].kind != Long, tokens)) + 93, [=, this](double end) {
                           auto &pace = answer(daemon, reader, end);
                           const double predicted = prefillMs(m_model, seen.role, tokens, 0, seen.running);
                           if (seen.queuedTokens <= 0) {
                               m_views[daemon].engines.noteFirstEvent(pace,
                                                                      {.workMs = predicted,
                                                                       .elapsedMs = end - now,
                                                                       .overheadMs = m_model.firstTokenOverheadMs,
                                                                       .figure = (figure + pace.figure(at(end))) / 2});
                           }
                           if (seen.queuedTokens <= 0 && split) { // As updateSlowdown() in stream_forward.cpp.
                               auto &slowdown = m_views[daemon].of[reader].slowdown;
                               slowdown += 0.2 * (std::clamp((end - now - m_model.firstTokenOverheadMs) / predicted, 0.5, 10.0) - slowdown);
                           }
                           change(daemon, reader, -1, -tokens);
                           decode(daemon, writer, end + (split ? 8 + tokens * 18432 * 8 / 170e6 + 7 * m_machines[writer].pace(end) : 0), kind, now);
                       }});
    }

    void decode(std::size_t daemon, std::size_t writer, double first, request_kind kind, double arrivedAt)
    {
        constexpr int steps = 60;
        finishRequest(kind, arrivedAt, first);
        change(daemon, writer, 1, 0);
        m_events.push({finish(m_machines[writer], first, steps * 7), [=, this](double last) {
                           auto &pace = m_views[daemon].of[writer].pace;
                           m_views[daemon].engines.noteStep(pace, (last - first) / steps / m_model.stepMs, pace.figure(at(last)));
                           change(daemon, writer, -1, 0);
                       }});
    }

    void call(std::size_t daemon, double now)
    {
        auto &view = m_views[daemon];
        service_input input{
            .workMs = m_load.usePace ? view.plain.callMs("r").value_or(45) : 45, .remainingMs = 1500, .onTimeMs = 200, .uneven = unevenPace({})};
        const auto &old = lateSnapshot();
        const auto firstPlain = m_machines.size() - static_cast<std::size_t>(m_load.machines[Plain]);
        for (std::size_t i = firstPlain; i < m_machines.size(); ++i) {
            input.endpoints.push_back(
                {.local = m_machines[i].domain == daemon % 3, .running = look(old, daemon, i).running, .slots = plainSlots, .pace = paceOf(daemon, i, 1, now)});
        }
        const auto placed = placeService(input);
        if (placed.verdict == placement_verdict::Refuse) {
            m_results[Plain].refused += now >= m_load.warmUpMs ? 1 : 0;
            return;
        }
        const auto index = firstPlain + static_cast<std::size_t>(placed.endpoint);
        const bool wasFull = input.endpoints[static_cast<std::size_t>(placed.endpoint)].running >= static_cast<int>(plainSlots);
        const double figure = view.of[index].pace.figure(at(now));
        change(daemon, index, 1, 0);
        m_events.push({serve(index, now, uniform(30, 60)), [=, this](double end) {
                           auto &pace = answer(daemon, index, end);
                           if (!wasFull) {
                               m_views[daemon].plain.noteCall(pace, "r", end - now, (figure + pace.figure(at(end))) / 2);
                           }
                           change(daemon, index, -1, 0);
                           finishRequest(Plain, now, end);
                       }});
    }

    const uneven_load m_load;
    const engine_model m_model;
    std::mt19937_64 m_random;
    std::vector<machine> m_machines;
    std::vector<daemon_view> m_views;
    snapshot m_now;
    std::deque<snapshot> m_snapshots;
    std::priority_queue<event> m_events;
    std::array<kind_result, 3> m_results;
};

}
