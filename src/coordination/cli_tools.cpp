#include "coordination/bench_runner.h"
#include "coordination/cli_commands.h"
#include "coordination/load_summary.h"
#include "coordination/replay.h"
#include "protocol/errors.h"

#include <array>
#include <fstream>
#include <sstream>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

absl::Status runReplay(const cli_call &call, std::ostream &out)
{
    std::ifstream log(call.arguments.front());
    if (!log) {
        return makeError(absl::StatusCode::kNotFound, "open decision log", "local", call.arguments.front());
    }
    return replayLog(log, out);
}

/// Explains a request from a log file, which holds all decisions, or from the daemon's memory, which holds the most recent ones.
absl::Status runExplain(const cli_call &call, std::ostream &out)
{
    const auto &requestId = call.arguments.front();
    if (!call.log.empty()) {
        std::ifstream log(call.log);
        if (!log) {
            return makeError(absl::StatusCode::kNotFound, "open decision log", "local", call.log);
        }
        return explainRequest(log, requestId, out);
    }
    const auto response = operatorGet(call.target, "/operator/v1/decisions?request=" + requestId);
    if (!response.ok()) {
        return response.status();
    }
    std::stringstream lines;
    for (const auto &record : response->at("decisions")) {
        lines << record.dump() << "\n";
    }
    return explainRequest(lines, requestId, out);
}

absl::Status runBenchCommand(const cli_call &call, std::ostream &out)
{
    return runBench(out, call.seed) == 0 ? absl::OkStatus() : absl::InternalError("a request was refused with a false not_run, lost or run twice");
}

absl::StatusOr<json> summarise(const load_settings &settings)
{
    load_generator generator(settings);
    const auto results = generator.run();
    std::optional<std::map<std::string, int>> executions;
    if (!settings.executionServers.empty()) {
        auto fetched = fetchExecutions(settings.executionServers);
        if (!fetched.ok()) {
            return fetched.status();
        }
        executions = *std::move(fetched);
    }
    return summariseLoad(generator, results, executions);
}

absl::Status runLoad(const cli_call &call, std::ostream &out)
{
    const auto settings = parseLoadSettings(call.load);
    if (!settings.ok()) {
        return settings.status();
    }
    const auto summary = summarise(*settings);
    if (!summary.ok()) {
        return summary.status();
    }
    out << formatLoadSummary(*summary) << summary->dump() << "\n";
    if (!call.summaryFile.empty()) {
        std::ofstream(call.summaryFile) << summary->dump(2) << "\n";
    }
    return hasIncorrectAnswers(*summary) ? absl::DataLossError(
               "a caller got a wrong, truncated or duplicated response or a false not_run, or a booking ran twice or was confirmed without running")
                                         : absl::OkStatus();
}

constexpr std::array commands = {
    cli_command{"explain", "REQUEST [--log FILE]", "Prints the decisions of one request from a log file or the daemon's memory.", 1, runExplain},
    cli_command{"replay", "LOG", "Replays every decision of a log and fails on the first result that differs.", 1, runReplay},
    cli_command{"bench", "[--seed N]", "Scores the decision policies on fixed workloads and prints the signature of the decisions.", 0, runBenchCommand},
    cli_command{"load",
                "[--settings FILE] [--servers LIST] [--keys FILE] [--rate R] [--seconds S] [--seed N]",
                "Generates load, checks every response and prints a summary.",
                0,
                runLoad},
};

}

std::span<const cli_command> toolCommands()
{
    return commands;
}

}
