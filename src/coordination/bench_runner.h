#pragma once

#include <cstdint>
#include <ostream>

namespace lacewinglock
{

/// Runs all workloads under all variants. Prints a table of scores per workload, one line per target and the signature of all decisions as "Bench: N".
/// A seed gives the same signature on every machine. Returns 0, or 1 when a request was refused with a false "not run", lost or run twice.
int runBench(std::ostream &out, std::uint64_t seed);

}
