#include "coordination/bench_runner.h"

#include <cstdlib>
#include <iostream>

/// Runs the decision bench; the only argument is the seed.
int main(int argc, char **argv)
{
    return lacewinglock::runBench(std::cout, argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
}
