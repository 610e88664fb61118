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

/// Flags and arguments of one command line.
struct cli_call
{
    operator_target target;
    std::string file; ///< Value of -f.
    std::string base; ///< Value of --base; empty when not given.
    std::string organisation;
    std::string id;
    std::string window;
    std::string log; ///< Decision log for explain; if empty, explain queries the daemon.
    nlohmann::json load = nlohmann::json::object(); ///< Settings of the load command.
    std::string summaryFile; ///< File for the JSON summary of load; empty writes none.
    std::uint64_t seed = 1;
    std::vector<std::string> arguments; ///< Arguments after the command's name.
};

/// Command of the command line. The name may have two words, as in "key create".
struct cli_command
{
    std::string_view name;
    std::string_view usage;
    std::string_view help;
    std::size_t argumentCount = 0;
    absl::Status (*run)(const cli_call &call, std::ostream &out) = nullptr;
};

/// Returns the commands that need only the operator interface or local files.
std::span<const cli_command> operatorCommands();

/// Returns the commands that replay, explain or score decisions, or generate load.
std::span<const cli_command> toolCommands();

/// Finds the command that the arguments start with and runs it with the remaining ones. Returns the exit status: 0 for success, 1 for a failure, 2 for wrong
/// use.
int runCommand(std::span<const cli_command> commands, cli_call call, bool helpRequested, std::ostream &out, std::ostream &errors);

}
