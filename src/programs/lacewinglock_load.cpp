#include "coordination/load_report.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "JSON file with load settings; the other flags override its fields");
DEFINE_string(servers, "", "comma-separated IP:port of daemons");
DEFINE_string(keys, "", "JSON file with a key for each organisation");
DEFINE_string(models, "", "comma-separated model names");
DEFINE_string(execution_servers, "", "comma-separated IP:port of the plain services");
DEFINE_string(booking_path, "", "path of bookings");
DEFINE_string(json, "", "file for the summary as JSON");
DEFINE_double(rate, 0, "requests a second");
DEFINE_double(seconds, 0, "length of the load");
DEFINE_uint64(seed, 0, "seed of the plan");

namespace
{

using namespace lacewinglock;

nlohmann::json splitList(const std::string &text)
{
    auto list = nlohmann::json::array();
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        list.push_back(item);
    }
    return list;
}

nlohmann::json readFile(const std::string &path)
{
    std::ifstream file(path);
    return nlohmann::json::parse(file, nullptr, false);
}

nlohmann::json collectSettings()
{
    auto document = FLAGS_settings.empty() ? nlohmann::json::object() : readFile(FLAGS_settings);
    const auto setList = [&](const char *name, const std::string &text) {
        if (!text.empty()) {
            document[name] = splitList(text);
        }
    };
    setList("servers", FLAGS_servers);
    setList("models", FLAGS_models);
    setList("execution_servers", FLAGS_execution_servers);
    const auto set = [&](const char *name, const auto &value, bool given) {
        if (given) {
            document[name] = value;
        }
    };
    set("keys", FLAGS_keys.empty() ? nlohmann::json() : readFile(FLAGS_keys), !FLAGS_keys.empty());
    set("booking_path", FLAGS_booking_path, !FLAGS_booking_path.empty());
    set("rate", FLAGS_rate, FLAGS_rate > 0);
    set("seconds", FLAGS_seconds, FLAGS_seconds > 0);
    set("seed", FLAGS_seed, FLAGS_seed > 0);
    return document;
}

int runLoad(const load_settings &settings)
{
    load_generator generator(settings);
    const auto results = generator.run();
    std::optional<std::map<std::string, int>> executions;
    if (!settings.executionServers.empty()) {
        auto fetched = fetchExecutions(settings.executionServers);
        if (!fetched.ok()) {
            std::cerr << fetched.status().ToString() << "\n";
            return 2;
        }
        executions = *std::move(fetched);
    }
    const auto summary = summariseLoad(generator, results, executions);
    std::cout << loadTable(summary) << summary.dump() << "\n";
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << summary.dump(2) << "\n";
    }
    return hasBadAnswers(summary) ? 1 : 0;
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = parseLoadSettings(collectSettings());
    if (!settings.ok()) {
        std::cerr << settings.status().ToString() << "\n";
        return 2;
    }
    return runLoad(*settings);
}
