#include "coordination/declarations.h"
#include "standin/platform.h"
#include "standin/topology.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <pthread.h>

DEFINE_string(topology, "", "JSON file {platform: {host, port, instance_lag_ms, check_epochs}, endpoints: [{id, kind, host, port, group, ...}]}");
DEFINE_string(endpoints, "", "JSON file with the endpoints of a configuration; requires --groups");
DEFINE_string(groups, "", "JSON file with the groups of a configuration");
DEFINE_string(rates, "{}", "JSON object with rates and delays for all engines of --endpoints");
DEFINE_int32(platform_port, 0, "port of the platform; with 0 the port of the topology is used, or else one chosen by the system");

namespace
{

using namespace lacewinglock;

constexpr std::size_t threadStackBytes = 256U << 10U; // Small, because each stream occupies a thread and one process serves more than a thousand streams.

absl::StatusOr<nlohmann::json> loadTopology()
{
    if (!FLAGS_topology.empty()) {
        return readJsonFile(FLAGS_topology);
    }
    if (FLAGS_endpoints.empty()) {
        return nlohmann::json{{"endpoints", nlohmann::json::array()}};
    }
    const auto endpoints = readJsonFile(FLAGS_endpoints);
    const auto groups = readJsonFile(FLAGS_groups);
    if (!endpoints.ok() || !groups.ok()) {
        return endpoints.ok() ? groups.status() : endpoints.status();
    }
    return topologyFromConfiguration(*endpoints, *groups, nlohmann::json::parse(FLAGS_rates));
}

platform_settings parsePlatform(const nlohmann::json &topology)
{
    const auto value = topology.value("platform", nlohmann::json::object());
    platform_settings settings;
    settings.host = value.value("host", settings.host);
    settings.port = FLAGS_platform_port != 0 ? FLAGS_platform_port : value.value("port", 0);
    settings.instanceLag = std::chrono::milliseconds(value.value("instance_lag_ms", settings.instanceLag.count()));
    settings.checkEpochs = value.value("check_epochs", settings.checkEpochs);
    return settings;
}

int serve(const nlohmann::json &topology, const sigset_t &stopSignals)
{
    fleet endpoints;
    for (const auto &entry : topology.value("endpoints", nlohmann::json::array())) {
        if (const auto status = endpoints.add(entry); !status.ok()) {
            std::cerr << status.ToString() << "\n";
            return 1;
        }
    }
    platform service(parsePlatform(topology), endpoints);
    if (!service.start()) {
        std::cerr << "start platform [local]: can't bind the port\n";
        return 1;
    }
    std::cout << nlohmann::json{{"platform", service.server().address()}, {"endpoints", endpoints.list().size()}}.dump() << std::endl;
    int received = 0;
    sigwait(&stopSignals, &received);
    service.stop();
    endpoints.stopAll();
    return 0;
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, threadStackBytes);
    pthread_setattr_default_np(&attributes);
    const auto topology = loadTopology();
    if (!topology.ok()) {
        std::cerr << topology.status().ToString() << "\n";
        return 1;
    }
    return serve(*topology, stopSignals);
}
