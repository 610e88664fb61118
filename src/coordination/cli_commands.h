#pragma once

#include "coordination/operator_client.h"

#include <absl/status/status.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Flags and words of one call of the command line.
struct cli_call
{
    operator_target target;
    std::string file; ///< -f
    std::string base; ///< --base; empty when not given.
    std::string organisation;
    std::string id;
    std::string window;
    std::string log; ///< Decision log for explain; empty asks the daemon.
    nlohmann::json load = nlohmann::json::object(); ///< Settings of a load.
    std::string summaryFile; ///< Where load writes its summary as JSON; empty writes none.
    std::uint64_t seed = 1;
    std::vector<std::string> words; ///< Arguments after the command's name.
};

/// One command. The name may have two words, as in "key create".
struct cli_command
{
    std::string_view name;
    std::string_view usage;
    std::string_view help;
    std::size_t wordCount = 0;
    absl::Status (*run)(const cli_call &call, std::ostream &out) = nullptr;
};

/// The commands that need only the operator interface or local files.
std::span<const cli_command> operatorCommands();

/// Commands that run decisions again, measure them or send load.
std::span<const cli_command> toolCommands();

/// Finds the command that the words name, removes its name from them and runs it. Returns the exit status: 0, 1 for a failure, 2 for wrong use.
int runCommand(std::span<const cli_command> commands, cli_call call, bool helpWanted, std::ostream &out, std::ostream &errors);

}
