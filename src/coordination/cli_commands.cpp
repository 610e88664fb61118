#include "coordination/cli_commands.h"

#include "coordination/declarations.h"
#include "protocol/errors.h"
#include "protocol/merge_patch.h"
#include "protocol/settings.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

absl::Status usageError(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, "command line", "local", message);
}

absl::Status print(const absl::StatusOr<json> &response, std::ostream &out)
{
    if (response.ok()) {
        out << response->dump(2) << "\n";
    }
    return response.status();
}

/// Patch and the configuration version to which it applies.
struct planned_patch
{
    std::uint64_t baseVersion = 0;
    json patch;
};

absl::StatusOr<planned_patch> planPatch(const cli_call &call)
{
    if (call.file.empty()) {
        return usageError("-f DIR is required: the directory with the declarations");
    }
    auto declared = readDeclarations(call.file);
    if (!declared.ok()) {
        return declared.status();
    }
    const auto current = operatorGet(call.target, "/operator/v1/config");
    if (!current.ok()) {
        return current.status();
    }
    return planned_patch{.baseVersion = current->at("version"), .patch = declarationPatch(current->at("document"), *std::move(declared))};
}

absl::Status runDiff(const cli_call &call, std::ostream &out)
{
    const auto planned = planPatch(call);
    if (!planned.ok()) {
        return planned.status();
    }
    return print(json({{"base_version", planned->baseVersion}, {"paths", changedPaths(planned->patch)}, {"patch", planned->patch}}), out);
}

absl::Status runApply(const cli_call &call, std::ostream &out)
{
    const auto planned = planPatch(call);
    if (!planned.ok()) {
        return planned.status();
    }
    return print(operatorPost(call.target, "/operator/v1/patch", {{"base_version", planned->baseVersion}, {"patch", planned->patch}}), out);
}

absl::Status runGet(const cli_call &call, std::ostream &out)
{
    return print(operatorGet(call.target, "/operator/v1/config"), out);
}

absl::Status runPatch(const cli_call &call, std::ostream &out)
{
    std::uint64_t base = 0;
    const auto [end, code] = std::from_chars(call.base.data(), call.base.data() + call.base.size(), base);
    if (call.base.empty() || code != std::errc() || end != call.base.data() + call.base.size()) {
        return usageError("--base N is required: the configuration version that the patch applies to");
    }
    auto patch = readJsonFile(call.file);
    if (!patch.ok()) {
        return patch.status();
    }
    return print(operatorPost(call.target, "/operator/v1/patch", {{"base_version", base}, {"patch", *std::move(patch)}}), out);
}

absl::Status runKeyCreate(const cli_call &call, std::ostream &out)
{
    if (call.organisation.empty()) {
        return usageError("--organisation is required: the organisation that the key belongs to");
    }
    json body = {{"organisation", call.organisation}};
    if (!call.id.empty()) {
        body["id"] = call.id;
    }
    return print(operatorPost(call.target, "/operator/v1/keys", body), out);
}

absl::Status runKeyWithdraw(const cli_call &call, std::ostream &out)
{
    return print(operatorPost(call.target, "/operator/v1/keys/" + call.arguments.front() + "/withdraw", json::object()), out);
}

absl::Status runStatus(const cli_call &call, std::ostream &out)
{
    return print(operatorGet(call.target, "/operator/v1/status"), out);
}

absl::Status runUsage(const cli_call &call, std::ostream &out)
{
    if (call.window.empty()) {
        return usageError("--window N is required: the number of the usage window");
    }
    return print(operatorGet(call.target, "/operator/v1/usage?window=" + call.window), out);
}

absl::Status runPatchStatus(const cli_call &call, std::ostream &out)
{
    return print(operatorGet(call.target, "/operator/v1/patch/" + call.arguments.front()), out);
}

absl::Status runCheckSettings(const cli_call &call, std::ostream &out)
{
    if (const auto settings = loadSettings(call.arguments.front()); !settings.ok()) {
        return settings.status();
    }
    out << call.arguments.front() << ": settings are correct\n";
    return absl::OkStatus();
}

constexpr std::array commands = {
    cli_command{"apply", "-f DIR", "Makes the stored configuration equal to the declarations in a directory.", 0, runApply},
    cli_command{"diff", "-f DIR", "Shows the patch that apply would send.", 0, runDiff},
    cli_command{"get", "", "Prints the configuration document and its version.", 0, runGet},
    cli_command{"patch", "-f FILE --base N", "Applies a JSON merge patch to version N.", 0, runPatch},
    cli_command{"patch-status", "NONCE", "Reports whether a patch with an unknown outcome was stored.", 1, runPatchStatus},
    cli_command{"key create", "--organisation O [--id ID]", "Creates a key and prints its text, which is not shown again.", 0, runKeyCreate},
    cli_command{"key withdraw", "ID", "Withdraws a key.", 1, runKeyWithdraw},
    cli_command{"status", "", "Prints the state of a daemon and its view of the cell.", 0, runStatus},
    cli_command{"usage", "--window N", "Prints the usage report of a closed window.", 0, runUsage},
    cli_command{"check-settings", "FILE", "Checks the settings file of a daemon.", 1, runCheckSettings},
};

/// Removes the command's name from the front of the arguments. Returns false when they don't start with it.
bool consumeName(std::string_view name, std::vector<std::string> &arguments)
{
    const auto space = name.find(' ');
    const std::size_t count = space == std::string_view::npos ? 1 : 2;
    if (arguments.size() < count || arguments[0] != name.substr(0, space) || (count == 2 && arguments[1] != name.substr(space + 1))) {
        return false;
    }
    arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(count));
    return true;
}

void printUsage(const cli_command &command, std::ostream &out)
{
    out << "usage: lacewinglock " << command.name << (command.usage.empty() ? "" : " ") << command.usage << "\n" << command.help << "\n";
}

void printAllCommands(std::span<const cli_command> all, std::ostream &out)
{
    out << "usage: lacewinglock COMMAND [flags]\n\ncommands:\n";
    for (const auto &command : all) {
        out << "  " << command.name << (command.usage.empty() ? "" : " ") << command.usage << "\n      " << command.help << "\n";
    }
    out << "\nflags: --server http[s]://IP:PORT, --token_file FILE, --ca_file FILE\n";
}

}

std::span<const cli_command> operatorCommands()
{
    return commands;
}

int runCommand(std::span<const cli_command> all, cli_call call, bool helpRequested, std::ostream &out, std::ostream &errors)
{
    const auto command = std::ranges::find_if(all, [&](const cli_command &each) {
        return consumeName(each.name, call.arguments);
    });
    if (command == all.end()) {
        const bool isHelpOnly = helpRequested && call.arguments.empty();
        printAllCommands(all, isHelpOnly ? out : errors);
        return isHelpOnly ? 0 : 2;
    }
    if (helpRequested) {
        printUsage(*command, out);
        return 0;
    }
    if (call.arguments.size() != command->argumentCount) {
        printUsage(*command, errors);
        return 2;
    }
    if (const auto status = command->run(call, out); !status.ok()) {
        errors << "lacewinglock " << command->name << ": " << status.message() << "\n";
        return 1;
    }
    return 0;
}

}
