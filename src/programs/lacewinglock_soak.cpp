#include "standin/fault_schedule.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the run; the same seed reproduces it exactly");
DEFINE_double(minutes, 1, "virtual minutes of faults");
DEFINE_int32(daemons, 9, "number of daemons in the cell");
DEFINE_int32(broken, 0, "number of the mechanism to disable, which tests that the checks detect it; 0 for none");

namespace
{

void printSummary(lacewinglock::virtual_cell &cell)
{
    const auto &clock = cell.world().clock;
    std::cout << "seed " << FLAGS_seed << ": events " << clock.events() << ", hash " << std::hex << clock.hash() << std::dec << ", calls "
              << cell.totals().calls;
    for (const auto &[outcome, count] : cell.totals().outcomes) {
        std::cout << ", " << outcome << " " << count;
    }
    std::cout << ", windows reported " << cell.world().observer.reports() << ", edits";
    for (const auto &[outcome, count] : cell.totals().edits) {
        std::cout << " " << outcome << " " << count;
    }
    std::cout << ", violations " << cell.violations().size() << std::endl;
}

void printViolation(const lacewinglock::violation &found)
{
    std::cout << "violation of invariant " << static_cast<int>(found.which) << " at "
              << lacewinglock::toMs(found.at.time_since_epoch() - std::chrono::hours(1)) / 1000 << " s: " << found.detail << "\n";
    for (const auto &line : found.trace) {
        std::cout << "  " << line << "\n";
    }
}

}

/// Runs a cell under random faults in virtual time. The exit code is 1 when an invariant is violated.
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::FATAL;
    lacewinglock::virtual_cell cell({.seed = FLAGS_seed, .daemons = FLAGS_daemons, .broken = static_cast<lacewinglock::broken_mechanism>(FLAGS_broken)});
    lacewinglock::fault_schedule(cell).run(std::chrono::duration_cast<lacewinglock::duration>(std::chrono::duration<double, std::ratio<60>>(FLAGS_minutes)));
    printSummary(cell);
    if (!cell.violations().empty()) {
        printViolation(cell.violations().front());
        return 1;
    }
    return 0;
}
