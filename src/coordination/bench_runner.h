#pragma once

#include <cstdint>
#include <ostream>

namespace lacewinglock
{

/// Runs all workloads under all variants, prints a table of scores, one line per aim and, last, the signature of all decisions as "Bench: N".
/// The signature is the same for the same seed on every machine. Returns 0, or 1 when an invariant of the scores is broken.
int runBench(std::ostream &out, std::uint64_t seed);

}
