#include "coordination/microbench.h"

#include "coordination/admission_gate.h"
#include "coordination/routing.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lacewinglock
{

namespace
{

using wall_clock = std::chrono::steady_clock;

constexpr int admissionRounds = 3000;
constexpr int routingRounds = 2000;
constexpr int routingDomains = 4;

// A processor's time matters as well as the wall time, since waking threads is paid for on other processors.
double processorUs()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

double elapsedUs(wall_clock::time_point since)
{
    return std::chrono::duration<double, std::micro>(wall_clock::now() - since).count();
}

struct time_figures
{
    double meanUs = 0;
    double p99Us = 0;
    double processorUs = 0; ///< Of all threads, per round.
};

template <typename Step>
time_figures measure(int rounds, Step step)
{
    std::vector<double> times;
    const double before = processorUs();
    for (int round = 0; round < rounds; ++round) {
        const auto start = wall_clock::now();
        step(round);
        times.push_back(elapsedUs(start));
    }
    time_figures figures{.processorUs = (processorUs() - before) / rounds};
    for (const double time : times) {
        figures.meanUs += time / rounds;
    }
    std::ranges::sort(times);
    figures.p99Us = times[times.size() * 99 / 100];
    return figures;
}

void print(std::ostream &out, const std::string &name, const time_figures &figures)
{
    out << std::left << std::setw(44) << name << std::right << std::fixed << std::setprecision(2) << std::setw(12) << figures.meanUs << std::setw(12)
        << figures.p99Us << std::setw(12) << figures.processorUs << '\n';
}

instant steadyNow()
{
    return instant(std::chrono::duration_cast<duration>(wall_clock::now().time_since_epoch()));
}

admit_input request(int organisation)
{
    const auto name = std::to_string(organisation);
    return {.organisation = "organisation-" + name, .keyId = "key-" + name, .promptTokens = 100, .maxOutputTokens = 100, .remainingMs = 60000};
}

// Endpoints in different states of load, a few of them not usable.
route_input routeInput(int endpoints)
{
    std::mt19937_64 generator(1); // Fixed, so that all runs decide on the same input.
    route_input input{
        .requestId = "request", .group = "group", .organisation = "organisation", .promptTokens = 2000, .maxOutputTokens = 300, .remainingMs = 60000};
    for (int index = 0; index < endpoints; ++index) {
        input.endpoints.push_back({.id = "endpoint-" + std::to_string(index),
                                   .failureDomain = "domain-" + std::to_string(index % routingDomains),
                                   .reclaimable = index % 3 == 0,
                                   .leaving = index % 50 == 49,
                                   .reportAgeMs = static_cast<double>(generator() % 1000),
                                   .queuedPromptTokens = static_cast<double>(generator() % 8000),
                                   .runningStreams = static_cast<int>(generator() % 30),
                                   .freeKvTokens = 100000,
                                   .cachedPromptTokens = static_cast<double>(generator() % 2000)});
    }
    return input;
}

/// A gate that has seen many organisations and at which requests wait for a full group, while another group has room.
class loaded_gate
{
public:
    loaded_gate(int organisations, int waiting)
    {
        for (int index = 0; index < organisations; ++index) {
            m_gate.enter(request(index), arrivalAt("roomy", 1e12));
            m_gate.leave(request(index), "roomy");
        }
        m_gate.enter(request(0), arrivalAt("full", 1));
        for (int index = 0; index < waiting; ++index) {
            m_waiting.emplace_back([this, input = request(index % organisations)] {
                m_gate.enter(input, arrivalAt("full", 1));
            });
        }
        while (m_gate.waiting() < waiting) {
            std::this_thread::yield();
        }
    }
    ~loaded_gate()
    {
        m_stop = true;
        for (auto &thread : m_waiting) {
            thread.join();
        }
    }
    loaded_gate(const loaded_gate &) = delete;
    loaded_gate &operator=(const loaded_gate &) = delete;

    void admitOne(int organisation)
    {
        m_gate.enter(request(organisation), arrivalAt("roomy", 1e12));
        m_gate.leave(request(organisation), "roomy");
    }

private:
    admission_gate::arrival arrivalAt(const std::string &group, double freeTokens) const
    {
        return {
            .group = group,
            .freeGroupTokens =
                [freeTokens] {
                    return freeTokens;
                },
            .deadline = steadyNow() + std::chrono::seconds(60),
            .now = steadyNow,
            .callerGone =
                [this] {
                    return m_stop.load();
                },
            .record =
                [](const admit_input &, const admit_result &) {
                },
        };
    }

    admission_gate m_gate;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_waiting;
};

}

void benchAdmission(std::ostream &out)
{
    out << "admission                                     mean us      p99 us      cpu us\n";
    for (const int organisations : {8, 1000, 16000}) {
        for (const int waiting : {0, 200}) {
            loaded_gate gate(organisations, waiting);
            const auto figures = measure(admissionRounds, [&](int round) {
                gate.admitOne(round % organisations);
            });
            print(out, std::to_string(organisations) + " organisations, " + std::to_string(waiting) + " waiting", figures);
        }
    }
}

void benchRouting(std::ostream &out)
{
    out << "route decision                                mean us      p99 us      cpu us\n";
    for (const int endpoints : {13, 200, 2000}) {
        route_input input = routeInput(endpoints);
        std::size_t chosen = 0;
        const auto figures = measure(routingRounds, [&](int round) {
            input.seed = static_cast<std::uint64_t>(round);
            chosen += decideRoute(input).endpoint.empty() ? 0 : 1;
        });
        print(out, std::to_string(endpoints) + " endpoints", figures);
        out << "    " << std::setprecision(0) << 1e6 / figures.meanUs << " decisions a second on one core, " << chosen << " of " << routingRounds
            << " found an endpoint\n";
    }
}

}
