#include "coordination/cli_commands.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(server, "http://127.0.0.1:8001", "operator interface of a daemon");
DEFINE_string(token_file, "operator.token", "file that contains the operator token");
DEFINE_string(ca_file, "", "PEM file with the certificate authority for https");
DEFINE_string(f, "", "directory of declarations, or file with a patch");
DEFINE_string(base, "", "configuration version that the patch is based on");
DEFINE_string(organisation, "", "organisation of the new key");
DEFINE_string(id, "", "identifier of the new key");
DEFINE_string(window, "", "number of the usage window");
DEFINE_string(log, "", "explain: decision log file; without it the daemon is queried");
DEFINE_uint64(seed, 1, "bench, load: seed of the random numbers");
DEFINE_string(settings, "", "load: JSON file with settings; the flags override its fields");
DEFINE_string(servers, "", "load: comma-separated IP:port of daemons");
DEFINE_string(keys, "", "load: JSON file with an API key for each organisation");
DEFINE_string(models, "", "load: comma-separated model names");
DEFINE_string(execution_servers, "", "load: comma-separated IP:port of the plain services");
DEFINE_string(booking_path, "", "load: request path for bookings");
DEFINE_string(json, "", "load: file to which the JSON summary is written");
DEFINE_double(rate, 0, "load: requests per second");
DEFINE_double(seconds, 0, "load: length of the run in seconds");
DECLARE_bool(help);

namespace
{

nlohmann::json splitList(const std::string &text)
{
    auto list = nlohmann::json::array();
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        list.push_back(item);
    }
    return list;
}

/// Reads a JSON file. Returns a discarded value when it can not be read or parsed; the check of the load settings then reports the field.
nlohmann::json readFile(const std::string &path)
{
    std::ifstream file(path);
    return nlohmann::json::parse(file, nullptr, false);
}

nlohmann::json collectLoadSettings()
{
    auto document = FLAGS_settings.empty() ? nlohmann::json::object() : readFile(FLAGS_settings);
    const auto set = [&](const char *name, const auto &value, bool given) {
        if (given) {
            document[name] = value;
        }
    };
    set("servers", splitList(FLAGS_servers), !FLAGS_servers.empty());
    set("models", splitList(FLAGS_models), !FLAGS_models.empty());
    set("execution_servers", splitList(FLAGS_execution_servers), !FLAGS_execution_servers.empty());
    set("keys", FLAGS_keys.empty() ? nlohmann::json() : readFile(FLAGS_keys), !FLAGS_keys.empty());
    set("booking_path", FLAGS_booking_path, !FLAGS_booking_path.empty());
    set("rate", FLAGS_rate, FLAGS_rate > 0);
    set("seconds", FLAGS_seconds, FLAGS_seconds > 0);
    set("seed", FLAGS_seed, FLAGS_seed > 0);
    return document;
}

std::vector<lacewinglock::cli_command> allCommands()
{
    const auto operators = lacewinglock::operatorCommands();
    const auto tools = lacewinglock::toolCommands();
    std::vector<lacewinglock::cli_command> all(operators.begin(), operators.end());
    all.insert(all.end(), tools.begin(), tools.end());
    return all;
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    lacewinglock::cli_call call{
        .target = {.server = FLAGS_server, .tokenFile = FLAGS_token_file, .caFile = FLAGS_ca_file},
        .file = FLAGS_f,
        .base = FLAGS_base,
        .organisation = FLAGS_organisation,
        .id = FLAGS_id,
        .window = FLAGS_window,
        .log = FLAGS_log,
        .load = collectLoadSettings(),
        .summaryFile = FLAGS_json,
        .seed = FLAGS_seed,
        .arguments = {argv + 1, argv + argc},
    };
    return lacewinglock::runCommand(allCommands(), std::move(call), FLAGS_help, std::cout, std::cerr);
}
