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

constexpr int admissionIterations = 3000;
constexpr int routingIterations = 2000;
constexpr int routingDomains = 4;

// Returns the CPU time of the process. It counts besides wall time, since waking threads costs time on other cores.
double cpuUs()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

double elapsedUs(wall_clock::time_point since)
{
    return std::chrono::duration<double, std::micro>(wall_clock::now() - since).count();
}

struct timing_result
{
    double meanUs = 0;
    double p99Us = 0;
    double cpuUs = 0; ///< CPU time of all threads per iteration.
};

template <typename Step>
timing_result measure(int iterations, Step step)
{
    std::vector<double> times;
    const double before = cpuUs();
    for (int iteration = 0; iteration < iterations; ++iteration) {
        const auto start = wall_clock::now();
        step(iteration);
        times.push_back(elapsedUs(start));
    }
    timing_result timing{.cpuUs = (cpuUs() - before) / iterations};
    for (const double time : times) {
        timing.meanUs += time / iterations;
    }
    std::ranges::sort(times);
    timing.p99Us = times[times.size() * 99 / 100];
    return timing;
}

void printTiming(std::ostream &out, const std::string &name, const timing_result &timing)
{
    out << std::left << std::setw(44) << name << std::right << std::fixed << std::setprecision(2) << std::setw(12) << timing.meanUs << std::setw(12)
        << timing.p99Us << std::setw(12) << timing.cpuUs << '\n';
}

instant currentTime()
{
    return instant(std::chrono::duration_cast<duration>(wall_clock::now().time_since_epoch()));
}

admit_input makeAdmitInput(int organisation)
{
    const auto name = std::to_string(organisation);
    return {.organisation = "organisation-" + name, .keyId = "key-" + name, .promptTokens = 100, .maxOutputTokens = 100, .remainingMs = 60000};
}

// Creates endpoints with different load, a few of them leaving and so not usable.
route_input makeRouteInput(int endpoints)
{
    std::mt19937_64 generator(1); // Fixed seed, so that all runs decide on the same input.
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

/// Admission gate with state for many organisations and with requests waiting for a full group, while another group has free capacity.
class loaded_gate
{
public:
    loaded_gate(int organisations, int waiting)
    {
        for (int index = 0; index < organisations; ++index) {
            m_gate.enter(makeAdmitInput(index), arrivalAt("roomy", 1e12));
            m_gate.leave(makeAdmitInput(index), "roomy");
        }
        m_gate.enter(makeAdmitInput(0), arrivalAt("full", 1));
        for (int index = 0; index < waiting; ++index) {
            m_waiting.emplace_back([this, input = makeAdmitInput(index % organisations)] {
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
        m_gate.enter(makeAdmitInput(organisation), arrivalAt("roomy", 1e12));
        m_gate.leave(makeAdmitInput(organisation), "roomy");
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
            .deadline = currentTime() + std::chrono::seconds(60),
            .now = currentTime,
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
            const auto timing = measure(admissionIterations, [&](int iteration) {
                gate.admitOne(iteration % organisations);
            });
            printTiming(out, std::to_string(organisations) + " organisations, " + std::to_string(waiting) + " waiting", timing);
        }
    }
}

void benchRouting(std::ostream &out)
{
    out << "route decision                                mean us      p99 us      cpu us\n";
    for (const int endpoints : {13, 200, 2000}) {
        route_input input = makeRouteInput(endpoints);
        std::size_t chosen = 0;
        const auto timing = measure(routingIterations, [&](int iteration) {
            input.seed = static_cast<std::uint64_t>(iteration);
            chosen += decideRoute(input).endpoint.empty() ? 0 : 1;
        });
        printTiming(out, std::to_string(endpoints) + " endpoints", timing);
        out << "    " << std::setprecision(0) << 1e6 / timing.meanUs << " decisions a second on one core, " << chosen << " of " << routingIterations
            << " found an endpoint\n";
    }
}

}
