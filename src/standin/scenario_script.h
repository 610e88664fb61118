#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace lacewinglock
{

struct scenario_result
{
    std::vector<std::string> failures; ///< Failed expectations, violated invariants and script errors; empty when the scenario passed.
    std::vector<std::string> trace; ///< Most recent trace lines of the run.
};

/// Runs a scenario script on the virtual clock. Script errors are returned as failures. scenarios/README.md lists the functions for scripts.
scenario_result runScenario(const std::filesystem::path &file);

}
