#include "coordination/microbench.h"
#include "serving/placement.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(admission, false, "measure the time per admission");
DEFINE_bool(placement, false, "measure the time per placement of a generation on engines");
DEFINE_bool(routing, false, "measure routing decisions per second and the time per decision");

namespace
{

// Prints the mean time per placement of a long prompt with two shared blocks, where a quarter of the engines prefill, and a tenth have one or both blocks
// cached.
void benchPlacement(std::ostream &out)
{
    using lacewinglock::endpoint_role;
    constexpr int rounds = 200;
    const lacewinglock::engine_model model;
    for (const int engines : {13, 200, 2000}) {
        lacewinglock::generation_input input{.promptTokens = 17000, .targetMs = 600, .remainingMs = 8000, .kvTokenBytes = 18432, .linkMbps = 170000};
        for (int i = 0; i < engines; ++i) {
            const auto role = i % 4 == 0 ? endpoint_role::Prefill : endpoint_role::Decode;
            const double cached = i % 10 == 0 ? (i % 20 == 0 ? 500.0 : 13300.0) : 0;
            input.engines.push_back({.id = std::to_string(i),
                                     .role = role,
                                     .local = i % 5 == 0,
                                     .running = i % 7,
                                     .slots = 12,
                                     .queuedTokens = 1000.0 * (i % 9),
                                     .cachedTokens = cached});
        }
        double predicted = 0; // Printed, so that the compiler keeps the calls.
        const auto begin = std::chrono::steady_clock::now();
        for (int round = 0; round < rounds; ++round) {
            input.jitter = round / static_cast<double>(rounds);
            predicted += placeGeneration(input, model).firstEventMs;
        }
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begin;
        out << engines << " engines: " << elapsed.count() / rounds << " us per placement, first event after " << predicted / rounds << " ms\n";
    }
}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures single decisions: --admission --placement --routing");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_admission) {
        lacewinglock::benchAdmission(std::cout);
    }
    if (FLAGS_placement) {
        benchPlacement(std::cout);
    }
    if (FLAGS_routing) {
        lacewinglock::benchRouting(std::cout);
    }
    return 0;
}
