#include "coordination/bench_runner.h"
#include "coordination/cli_commands.h"
#include "coordination/load_report.h"
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
    std::ifstream log(call.words.front());
    if (!log) {
        return makeError(absl::StatusCode::kNotFound, "open decision log", "local", call.words.front());
    }
    return replayLog(log, out);
}

/// The daemon keeps the most recent decisions in memory; a log file has all of them.
absl::Status runExplain(const cli_call &call, std::ostream &out)
{
    const auto &requestId = call.words.front();
    if (!call.log.empty()) {
        std::ifstream log(call.log);
        if (!log) {
            return makeError(absl::StatusCode::kNotFound, "open decision log", "local", call.log);
        }
        return explainRequest(log, requestId, out);
    }
    const auto answer = operatorGet(call.target, "/operator/v1/decisions?request=" + requestId);
    if (!answer.ok()) {
        return answer.status();
    }
    std::stringstream lines;
    for (const auto &record : answer->at("decisions")) {
        lines << record.dump() << "\n";
    }
    return explainRequest(lines, requestId, out);
}

absl::Status runBenchCommand(const cli_call &call, std::ostream &out)
{
    return runBench(out, call.seed) == 0 ? absl::OkStatus() : absl::InternalError("a score breaks an invariant");
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
    out << loadTable(*summary) << summary->dump() << "\n";
    if (!call.summaryFile.empty()) {
        std::ofstream(call.summaryFile) << summary->dump(2) << "\n";
    }
    return hasBadAnswers(*summary) ? absl::DataLossError("a caller got a wrong, cut, doubled or untrue answer") : absl::OkStatus();
}

constexpr std::array commands = {
    cli_command{"explain", "REQUEST [--log FILE]", "Prints the decisions of one request, from a log file or the daemon's memory.", 1, runExplain},
    cli_command{"replay", "LOG", "Runs every decision of a log again and fails on the first different result.", 1, runReplay},
    cli_command{"bench", "[--seed N]", "Scores the decisions on fixed inputs and prints their signature.", 0, runBenchCommand},
    cli_command{"load",
                "[--settings FILE] [--servers LIST] [--keys FILE] [--rate R] [--seconds S] [--seed N]",
                "Sends load, checks every answer and prints a summary.",
                0,
                runLoad},
};

}

std::span<const cli_command> toolCommands()
{
    return commands;
}

}
