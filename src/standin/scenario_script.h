#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace lacewinglock
{

struct scenario_result
{
    std::vector<std::string> failures; ///< Failed expectations, violations and script errors; empty when the scenario passed.
    std::vector<std::string> trace; ///< The last events of the run.
};

/// Runs a scenario script on the virtual clock. scenarios/README.md lists the functions that scripts use.
scenario_result runScenario(const std::filesystem::path &file);

}
