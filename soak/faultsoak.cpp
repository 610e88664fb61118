// lacewinglock-faultsoak runs real daemons as separate processes on loopback, injects faults from outside them and checks with an oracle what callers
// and endpoints observe. The same seed gives the same faults at the same times; the processes themselves are not deterministic.

#include "soak/asio_helpers.h"
#include "soak/endpoint_demands.h"
#include "soak/oracle.h"
#include "soak/processes.h"
#include "soak/proxy.h"
#include "soak/stand_ins.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_uint64(seed, 1, "seed of the injected faults");
DEFINE_double(minutes, 1, "duration of the run in minutes");
DEFINE_int32(processes, 5, "number of daemon processes");
DEFINE_int32(callers, 16, "number of callers; each has one request in flight at a time");
DEFINE_string(edge, "build/lacewinglock-edge", "path of the daemon program under test");
DEFINE_string(faults,
              "all",
              "faults to inject: all; stops (SIGTERM to one daemon after the other, to a third of them at once at the most); restores (the store comes "
              "back from an older copy, amid kills, stops and changes of the configuration); or resets (one plain endpoint after the other resets its "
              "connections, the last one to the end)");
DEFINE_string(logs, "", "directory for settings and logs; by default a new one in the system's temporary directory");

namespace faultsoak
{

namespace
{

using nlohmann::json;

constexpr std::int64_t startupMs = 3000; // Time for the daemons to load the configuration and each other's summaries.
constexpr std::int64_t recoveryMs = 12000; // Time without faults at the end, in which leases and endpoint lists settle.
constexpr std::int64_t finalLoadMs = 6000; // Time for the requests by which recovery is checked.
constexpr int plainServiceCount = 4;
constexpr int engineCount = 6;
constexpr std::int64_t calmMs = 2000; // Load before the first fault.
constexpr std::int64_t partAfterFaultsMs = 8000; // Long enough to see how prompts are served beside the part when nothing else is disturbed.
constexpr double crashingFraction = 0.2; // Of the prompts, while a part crashes engines.
constexpr int limitChanges = 30; // Of an endpoint that changes its limit by little all the time.
constexpr std::int64_t limitChangeMs = 300;
constexpr double limitChangeSize = 0.03;
constexpr int limitChangesPerCycle = 7;
constexpr int requestsPerConnection = 15;
constexpr std::int64_t resolveTimeoutMs = 1000; // Name resolution takes a few milliseconds.
constexpr std::int64_t responseTimeoutMs = 6000; // Above the timeout of every route.

std::vector<std::string> keyNames()
{
    std::vector<std::string> out{"key-a", "key-b", "key-c", "key-d"};
    if (FLAGS_faults == "restores") {
        out.insert(out.end(), {"key-e", "key-f", "key-g", "key-h", "key-i", "key-j", "key-k", "key-l"});
    }
    return out;
}

std::int64_t randomBetween(std::mt19937_64 &random, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

template <typename Container>
auto &pickRandom(std::mt19937_64 &random, Container &from)
{
    return from[static_cast<std::size_t>(randomBetween(random, 0, static_cast<std::int64_t>(from.size()) - 1))];
}

class soak_run
{
public:
    soak_run(asio::io_context &loop, const std::string &directory);
    task<void> run();
    bool passed() const;
    void report() const;

private:
    struct managed_endpoint
    {
        std::unique_ptr<endpoint_stand_in> standIn;
        std::unique_ptr<proxy> networkProxy;
        bool streaming = false;
        bool registered = true;
    };

    void addEndpoint(bool streaming);
    void writeEndpointRow(const managed_endpoint &endpoint, std::string_view state);
    void writeConfiguration();
    void injectFault();
    void stopNextDaemon();
    void resetNextEndpoint();
    task<void> disturbProxy(proxy &networkProxy, proxy_mode mode, std::int64_t durationMs, std::string daemon, std::string endpoint);
    task<void> disturbStore(store_mode mode, std::int64_t durationMs);
    void injectFaultBesideRestores();
    task<void> restoreStore(std::int64_t ageMs, std::int64_t awayMs, std::int64_t rewriteMs);
    task<void> keepCopies();
    void withdrawKey();
    task<void> pauseDaemon(std::size_t index, std::int64_t durationMs);
    task<void> stopDaemon(std::size_t index, int signalNumber, std::int64_t downTimeMs);
    task<void> replaceEndpoint(std::size_t index, std::int64_t drainMs, std::int64_t downMs);
    task<void> dropResponses(std::size_t index, std::int64_t durationMs);
    task<void> poisonParts();
    task<void> makeDemands();
    task<void> makeDemand(std::size_t index, int kind);
    endpoint_stand_in *standInWithId(const std::string &id);
    void recordRestart(std::size_t index);
    void replaceCrashed(const std::string &id);
    std::string promptHeaders(const std::string &crashingPart);
    task<void> superviseDaemons();
    task<void> runCaller(int callerNumber);
    task<void> sendRequest(tcp::socket &socket, const std::string &daemon, int callerNumber, bool &keepAlive);
    std::string daemonAt(std::string_view callerAddress) const;
    task<std::string> resolveAddress();
    void endFaults();

    asio::io_context &m_loop;
    std::mt19937_64 m_random; ///< For the faults only, so that their sequence does not depend on the speed of the requests.
    std::mt19937_64 m_callerRandom;
    std::mt19937_64 m_partRandom; ///< For the crashing parts and the replaced engines, whose times depend on the requests.
    std::string m_crashingPart; ///< Crashes engines now; empty if none does.
    std::mt19937_64 m_demandRandom; ///< For what endpoints say of themselves.
    oracle m_oracle;
    endpoint_demands m_demands;
    store_stand_in m_store;
    std::vector<std::unique_ptr<proxy>> m_storeProxies; ///< Proxies between each daemon and the store, in the order of the daemons.
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::vector<bool> m_shouldRun; ///< Daemons that are restarted when they end.
    std::vector<managed_endpoint> m_endpoints;
    std::vector<std::unique_ptr<endpoint_stand_in>> m_retiredEndpoints; ///< Replaced endpoints, kept because their connections may still be closing.
    std::vector<std::unique_ptr<proxy>> m_retiredProxies;
    std::vector<std::string> m_keys = keyNames();
    std::vector<std::string> m_activeKeys = keyNames();
    int m_configurationVersion = 0;
    int m_nextEndpoint = 0;
    std::uint64_t m_nextRequest = 0;
    bool m_injectingFaults = true;
    bool m_finished = false;
    bool m_restoring = false; ///< The store is away, or lacks rows that were acknowledged.
    int m_faultCount = 0;
    std::size_t m_nextStop = 0;
};

soak_run::soak_run(asio::io_context &loop, const std::string &directory)
    : m_loop(loop)
    , m_random(FLAGS_seed)
    , m_callerRandom(~FLAGS_seed)
    , m_partRandom(FLAGS_seed + (1ULL << 32))
    , m_demandRandom(FLAGS_seed + (1ULL << 33))
    , m_store(loop, m_oracle)
{
    for (std::size_t i = 0; i < m_keys.size(); ++i) {
        m_oracle.recordKeyOwner(m_keys[i], "org-" + std::to_string(i));
    }
    for (int i = 0; i < plainServiceCount + engineCount; ++i) {
        addEndpoint(i >= plainServiceCount);
    }
    writeConfiguration();
    for (int i = 0; i < FLAGS_processes; ++i) {
        m_storeProxies.push_back(std::make_unique<proxy>(loop, m_store.endpoint()));
        m_daemons.push_back(std::make_unique<daemon_process>(
            FLAGS_edge, directory, "daemon-" + std::to_string(i), "domain-" + std::to_string(i % 3), m_storeProxies.back()->address()));
        m_daemons.back()->start();
        m_shouldRun.push_back(true);
    }
}

void soak_run::writeEndpointRow(const managed_endpoint &endpoint, std::string_view state)
{
    json row = {
        {"service", endpoint.streaming ? "engines" : "desk"},
        {"address", endpoint.networkProxy->address()},
        {"zone", "domain-0"},
        {"version", "v1"},
        {"slots", 6},
        {"state", state},
        {"cold-remaining-ms", 0},
        {"sequence", 1},
    };
    if (endpoint.streaming) {
        row["stage"] = "decode";
    }
    m_store.put("servers", endpoint.standIn->id(), row.dump());
}

void soak_run::addEndpoint(bool streaming)
{
    managed_endpoint endpoint;
    endpoint.streaming = streaming;
    endpoint.standIn = std::make_unique<endpoint_stand_in>(
        m_loop, m_oracle, m_demands, "e" + std::to_string(++m_nextEndpoint), streaming, m_partRandom(), [this](const std::string &id) {
            replaceCrashed(id);
        });
    endpoint.networkProxy = std::make_unique<proxy>(m_loop, endpoint.standIn->endpoint());
    writeEndpointRow(endpoint, "ready");
    m_endpoints.push_back(std::move(endpoint));
}

void soak_run::writeConfiguration()
{
    m_configurationVersion += static_cast<int>(randomBetween(m_random, 1, 3));
    const auto route = [](std::string name, std::string kind, std::string service, int maxAttempts, int timeoutMs) {
        return json{{"name", name},
                    {"hostname", "host.example"},
                    {"path-prefix", "/" + name + "/"},
                    {"route-type", kind},
                    {"timeout-ms", timeoutMs},
                    {"target-latency-ms", 300},
                    {"priority", 1},
                    {"session-affinity", kind == "streaming"},
                    {"service", service},
                    {"max-attempts", maxAttempts},
                    {"auth-exempt", false}};
    };
    json tenants = json::array();
    for (std::size_t i = 0; i < m_keys.size(); ++i) {
        json keys = json::array();
        if (std::ranges::find(m_activeKeys, m_keys[i]) != m_activeKeys.end()) {
            keys.push_back(m_keys[i]);
        }
        tenants.push_back({{"name", "org-" + std::to_string(i)}, {"api-keys", keys}});
    }
    const json document = {
        {"version", m_configurationVersion},
        {"routes", {route("read", "safe", "desk", 2, 1000), route("book", "non_idempotent", "desk", 1, 1000), route("gen", "streaming", "engines", 1, 3000)}},
        {"services",
         {{{"name", "desk"}, {"health-path", "/healthz"}, {"max-connections", 200}},
          {{"name", "engines"}, {"health-path", "/healthz"}, {"max-connections", 200}}}},
        {"tenants", tenants},
    };
    m_store.put("op", "config", document.dump());
}

// The proxy is either that of `daemon` to the store, or that of `endpoint`; the other one is empty.
task<void> soak_run::disturbProxy(proxy &networkProxy, proxy_mode mode, std::int64_t durationMs, std::string daemon, std::string endpoint)
{
    const auto record = [&] {
        if (!endpoint.empty()) {
            m_demands.recordLinkFault(endpoint, nowMs());
        } else {
            m_oracle.recordStoreFault(nowMs());
            m_oracle.recordDisruption(daemon, nowMs());
        }
    };
    networkProxy.setMode(mode);
    for (std::int64_t remainingMs = durationMs; remainingMs > 0 && m_injectingFaults; remainingMs -= 100) {
        record();
        co_await sleepMs(std::min<std::int64_t>(remainingMs, 100));
    }
    networkProxy.setMode(proxy_mode::Forward);
    record();
}

task<void> soak_run::disturbStore(store_mode mode, std::int64_t durationMs)
{
    m_store.setMode(mode);
    for (std::int64_t remainingMs = durationMs; remainingMs > 0 && m_injectingFaults; remainingMs -= 100) {
        m_oracle.recordDisruption("", nowMs());
        co_await sleepMs(std::min<std::int64_t>(remainingMs, 100));
    }
    m_store.setMode(store_mode::Normal);
    m_oracle.recordStoreFault(nowMs());
    m_oracle.recordDisruption("", nowMs());
}

// Between its return and `rewriteMs` later, the store lacks what the operator and the endpoints wrote since the copy.
task<void> soak_run::restoreStore(std::int64_t ageMs, std::int64_t awayMs, std::int64_t rewriteMs)
{
    m_restoring = true;
    co_await disturbStore(store_mode::Unavailable, awayMs);
    m_store.restore(ageMs);
    for (std::int64_t remainingMs = rewriteMs; remainingMs > 0; remainingMs -= 100) {
        m_oracle.recordStoreFault(nowMs());
        m_oracle.recordDisruption("", nowMs());
        co_await sleepMs(std::min<std::int64_t>(remainingMs, 100));
    }
    m_store.writeLostRowsAgain([this](const std::string &id) {
        const auto *standIn = standInWithId(id);
        return standIn != nullptr && standIn->running();
    });
    m_oracle.recordStoreFault(nowMs());
    m_oracle.recordDisruption("", nowMs());
    m_restoring = false;
}

task<void> soak_run::keepCopies()
{
    constexpr std::int64_t copyIntervalMs = 250;
    while (!m_finished) {
        if (!m_restoring) {
            m_store.keepCopy();
        }
        co_await sleepMs(copyIntervalMs);
    }
}

task<void> soak_run::pauseDaemon(std::size_t index, std::int64_t durationMs)
{
    m_daemons[index]->sendSignal(SIGSTOP);
    for (std::int64_t remainingMs = durationMs; remainingMs > 0 && m_injectingFaults; remainingMs -= 100) {
        m_oracle.recordStoreFault(nowMs()); // The limits of the oracle do not apply while a daemon is paused.
        recordRestart(index);
        co_await sleepMs(100);
    }
    m_daemons[index]->sendSignal(SIGCONT);
    m_oracle.recordStoreFault(nowMs());
    recordRestart(index);
}

task<void> soak_run::stopDaemon(std::size_t index, int signalNumber, std::int64_t downTimeMs)
{
    if (!m_shouldRun[index]) {
        co_return;
    }
    m_shouldRun[index] = false;
    m_daemons[index]->sendSignal(SIGCONT);
    m_daemons[index]->sendSignal(signalNumber);
    recordRestart(index);
    co_await sleepMs(downTimeMs);
    m_shouldRun[index] = true;
}

// Replaces a crashed endpoint by a new one with another id. With `drainMs`, it first serves as a draining endpoint for that time.
task<void> soak_run::replaceEndpoint(std::size_t index, std::int64_t drainMs, std::int64_t downMs)
{
    auto &endpoint = m_endpoints[index];
    if (!endpoint.registered) {
        co_return;
    }
    endpoint.registered = false;
    const std::string id = endpoint.standIn->id();
    if (drainMs > 0) {
        writeEndpointRow(endpoint, "draining");
        m_oracle.recordEndpointDraining(id, nowMs());
        co_await sleepMs(drainMs);
    }
    m_endpoints[index].standIn->crash();
    co_await sleepMs(downMs);
    m_store.remove("servers", id);
    const bool streaming = m_endpoints[index].streaming;
    m_retiredEndpoints.push_back(std::move(m_endpoints[index].standIn));
    m_retiredProxies.push_back(std::move(m_endpoints[index].networkProxy));
    addEndpoint(streaming);
    m_endpoints[index] = std::move(m_endpoints.back());
    m_endpoints.pop_back();
}

task<void> soak_run::dropResponses(std::size_t index, std::int64_t durationMs)
{
    const std::string id = m_endpoints[index].standIn->id();
    m_endpoints[index].standIn->setDropResponses(true);
    co_await sleepMs(durationMs);
    if (m_endpoints[index].standIn && m_endpoints[index].standIn->id() == id) {
        m_endpoints[index].standIn->setDropResponses(false);
    }
}

void soak_run::replaceCrashed(const std::string &id)
{
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        if (m_endpoints[i].standIn && m_endpoints[i].standIn->id() == id) {
            m_endpoints[i].networkProxy->stop();
            asio::co_spawn(m_loop, replaceEndpoint(i, 0, randomBetween(m_partRandom, 2000, 4000)), asio::detached);
        }
    }
}

// One part after the other crashes engines; the last one goes on after the other faults.
task<void> soak_run::poisonParts()
{
    for (int number = 1; m_injectingFaults; ++number) {
        co_await sleepMs(randomBetween(m_partRandom, 1000, 3000));
        m_crashingPart = std::string(crashingPartPrefix) + std::to_string(number);
        ++m_faultCount;
        for (std::int64_t remainingMs = randomBetween(m_partRandom, 15000, 25000); remainingMs > 0 && m_injectingFaults; remainingMs -= 100) {
            co_await sleepMs(100);
        }
        if (!m_injectingFaults) {
            co_await sleepMs(partAfterFaultsMs);
        }
        m_crashingPart.clear();
    }
}

void soak_run::recordRestart(std::size_t index)
{
    m_oracle.recordDisruption(m_daemons[index]->id(), nowMs());
    m_demands.recordRestart(m_daemons[index]->id(), nowMs());
}

// Null once the endpoint has been replaced.
endpoint_stand_in *soak_run::standInWithId(const std::string &id)
{
    const auto found = std::ranges::find_if(m_endpoints, [&id](const auto &endpoint) {
        return endpoint.standIn && endpoint.standIn->id() == id;
    });
    return found == m_endpoints.end() ? nullptr : found->standIn.get();
}

// Endpoints name a limit, change it, some all the time, and drop it, leave without marking their entry in the store, ask for pauses, and write bytes that
// belong to no request.
task<void> soak_run::makeDemands()
{
    while (m_injectingFaults) {
        co_await sleepMs(randomBetween(m_demandRandom, 800, 2500));
        const auto endpoint = static_cast<std::size_t>(randomBetween(m_demandRandom, 0, static_cast<std::int64_t>(m_endpoints.size()) - 1));
        const int kind = static_cast<int>(randomBetween(m_demandRandom, 0, 5));
        if (m_injectingFaults && m_endpoints[endpoint].standIn) {
            ++m_faultCount;
            asio::co_spawn(m_loop, makeDemand(endpoint, kind), asio::detached);
        }
    }
}

task<void> soak_run::makeDemand(std::size_t index, int kind)
{
    const std::string id = m_endpoints[index].standIn->id();
    const auto wait = [this](std::int64_t low, std::int64_t high) {
        return sleepMs(randomBetween(m_demandRandom, low, high));
    };
    switch (kind) {
    case 0:
        m_endpoints[index].standIn->sayLeaving();
        co_await wait(3000, 6000);
        if (standInWithId(id) != nullptr) {
            co_await replaceEndpoint(index, 0, 300);
        }
        break;
    case 1:
        m_endpoints[index].standIn->setPause(randomBetween(m_demandRandom, 1000, 4000));
        co_await wait(200, 1500);
        if (auto *standIn = standInWithId(id)) {
            standIn->setPause(0);
        }
        break;
    case 2:
        m_endpoints[index].standIn->setGarbles(true);
        co_await wait(1000, 3000);
        if (auto *standIn = standInWithId(id)) {
            standIn->setGarbles(false);
        }
        break;
    case 3: {
        const double limit = static_cast<double>(randomBetween(m_demandRandom, 5, 60)) / 10;
        for (int change = 0; change < limitChanges; ++change) {
            if (auto *standIn = standInWithId(id)) {
                standIn->setLimit(limit * (1 - limitChangeSize * (change % limitChangesPerCycle)));
            }
            co_await sleepMs(limitChangeMs);
        }
        if (auto *standIn = standInWithId(id)) {
            standIn->setLimit(std::nullopt);
        }
        break;
    }
    default:
        for (int change = 0; change < 2; ++change) {
            if (auto *standIn = standInWithId(id)) {
                standIn->setLimit(static_cast<double>(randomBetween(m_demandRandom, 5, 60)) / 10);
            }
            co_await wait(5000, 9000);
        }
        if (auto *standIn = standInWithId(id)) {
            standIn->setLimit(std::nullopt);
        }
    }
}

// The first part is common to all prompts and the last one to none.
std::string soak_run::promptHeaders(const std::string &crashingPart)
{
    static constexpr std::array<std::string_view, 4> middleParts{"b1", "b2", "b3", "b4"};
    std::string parts = "a1:100," + std::string(pickRandom(m_callerRandom, middleParts)) + ":60,";
    if (!crashingPart.empty()) {
        parts += crashingPart + ":40,";
    }
    parts += "c" + std::to_string(m_nextRequest) + ":20";
    return "X-Model-Name: m\r\nX-Token-Counts: 220,5\r\nX-Prefix-Hash: " + parts + "\r\n";
}

void soak_run::injectFault()
{
    ++m_faultCount;
    const auto daemon = static_cast<std::size_t>(randomBetween(m_random, 0, FLAGS_processes - 1));
    const auto endpoint = static_cast<std::size_t>(randomBetween(m_random, 0, static_cast<std::int64_t>(m_endpoints.size()) - 1));
    const std::int64_t durationMs = randomBetween(m_random, 500, 6000);
    const std::int64_t drainMs = randomBetween(m_random, 4000, 6000); // Longer than the drain limit.
    const std::int64_t downMs = randomBetween(m_random, 300, 1500);
    const auto mode = static_cast<proxy_mode>(randomBetween(m_random, 1, 4));
    const auto start = [&](task<void> fault) {
        asio::co_spawn(m_loop, std::move(fault), asio::detached);
    };
    switch (randomBetween(m_random, 0, 11)) {
    case 0:
    case 1:
        return start(stopDaemon(daemon, SIGKILL, durationMs));
    case 2:
        return start(stopDaemon(daemon, SIGTERM, durationMs));
    case 3:
        return start(pauseDaemon(daemon, durationMs));
    case 4:
        return start(disturbProxy(*m_storeProxies[daemon], mode, durationMs, m_daemons[daemon]->id(), ""));
    case 5:
        return start(disturbStore(static_cast<store_mode>(randomBetween(m_random, 1, 3)), durationMs));
    case 6:
        if (m_endpoints[endpoint].networkProxy) {
            start(disturbProxy(*m_endpoints[endpoint].networkProxy, mode, durationMs, "", m_endpoints[endpoint].standIn->id()));
        }
        return;
    case 7:
        if (m_endpoints[endpoint].networkProxy) {
            m_endpoints[endpoint].networkProxy->resetConnections();
        }
        return;
    case 8:
        return start(replaceEndpoint(endpoint, 0, downMs));
    case 9:
        return start(replaceEndpoint(endpoint, drainMs, downMs));
    case 10:
        return start(dropResponses(endpoint, durationMs));
    default:
        if (randomBetween(m_random, 0, 3) == 0 && m_activeKeys.size() > 1) {
            withdrawKey();
        } else if (randomBetween(m_random, 0, 2) == 0) {
            m_store.compact();
        } else {
            writeConfiguration();
        }
    }
}

void soak_run::injectFaultBesideRestores()
{
    ++m_faultCount;
    const auto daemon = static_cast<std::size_t>(randomBetween(m_random, 0, FLAGS_processes - 1));
    const auto endpoint = static_cast<std::size_t>(randomBetween(m_random, 0, static_cast<std::int64_t>(m_endpoints.size()) - 1));
    const std::int64_t downMs = randomBetween(m_random, 100, 3000);
    const std::int64_t ageMs = randomBetween(m_random, 500, 9000);
    const std::int64_t awayMs = randomBetween(m_random, 200, 2500);
    const std::int64_t rewriteMs = randomBetween(m_random, 100, 7000);
    const auto start = [&](task<void> fault) {
        asio::co_spawn(m_loop, std::move(fault), asio::detached);
    };
    switch (randomBetween(m_random, 0, 7)) {
    case 0:
    case 1:
        return start(stopDaemon(daemon, SIGKILL, downMs));
    case 2:
        return start(stopDaemon(daemon, SIGTERM, downMs));
    case 3:
        return start(replaceEndpoint(endpoint, 0, downMs));
    case 4:
        withdrawKey();
        return;
    case 5:
        writeConfiguration();
        return;
    default:
        if (!m_restoring) {
            start(restoreStore(ageMs, awayMs, rewriteMs));
        }
    }
}

void soak_run::withdrawKey()
{
    if (m_activeKeys.size() <= 1) {
        return;
    }
    const std::string key = pickRandom(m_random, m_activeKeys);
    std::erase(m_activeKeys, key);
    writeConfiguration();
    m_oracle.recordKeyWithdrawal(key, nowMs());
}

void soak_run::stopNextDaemon()
{
    const auto ending = static_cast<std::size_t>(std::ranges::count_if(m_daemons, [](const auto &daemon) {
        return daemon->ending() || !daemon->running();
    }));
    const std::size_t index = m_nextStop % m_daemons.size();
    if (ending >= std::max<std::size_t>(1, m_daemons.size() / 3) || m_daemons[index]->ending()) {
        return;
    }
    ++m_nextStop;
    ++m_faultCount;
    constexpr std::int64_t restartDelayMs = 100;
    asio::co_spawn(m_loop, stopDaemon(index, SIGTERM, restartDelayMs), asio::detached);
}

// To a daemon without ejection, the endpoint is the fastest one, and each repeatable call goes there first until the retry budget is used up.
void soak_run::resetNextEndpoint()
{
    if (m_faultCount > 0) {
        m_endpoints[static_cast<std::size_t>((m_faultCount - 1) % plainServiceCount)].standIn->setResets(false);
    }
    m_endpoints[static_cast<std::size_t>(m_faultCount % plainServiceCount)].standIn->setResets(true);
    ++m_faultCount;
}

task<void> soak_run::superviseDaemons()
{
    while (!m_finished) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i]->reapIfEnded() && m_shouldRun[i]) {
                m_daemons[i]->start();
                recordRestart(i);
            }
        }
        co_await sleepMs(50);
    }
}

task<std::string> soak_run::resolveAddress()
{
    const auto address = pickRandom(m_callerRandom, m_daemons)->resolverAddress();
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)));
    tcp::socket socket(m_loop);
    close_timer timeout(socket, resolveTimeoutMs);
    boost::system::error_code error;
    co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, errorTo(error));
    const std::string resolveRequest = "GET /-/resolve?name=host.example&region=r&zone=domain-0 HTTP/1.1\r\nHost: d\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(resolveRequest), errorTo(error));
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(socket, buffer, response, errorTo(error));
    timeout.cancel();
    const auto document = error ? json() : json::parse(response.body(), nullptr, false);
    if (!document.is_object() || !document.contains("addresses") || document["addresses"].empty()) {
        co_return std::string();
    }
    const auto addresses = document["addresses"].get<std::vector<std::string>>();
    co_return addresses[static_cast<std::size_t>(randomBetween(m_callerRandom, 0, static_cast<std::int64_t>(addresses.size()) - 1))];
}

// Sends one request and records its result. The connection can be reused only after a complete response.
task<void> soak_run::sendRequest(tcp::socket &socket, const std::string &daemon, int callerNumber, bool &keepAlive)
{
    static constexpr std::array<std::string_view, 3> pathPrefixes{"read", "book", "gen"};
    caller_result result;
    result.kind = static_cast<call_kind>(randomBetween(m_callerRandom, 0, 2));
    result.id = "r" + std::to_string(FLAGS_seed) + "-" + std::to_string(callerNumber) + "-" + std::to_string(++m_nextRequest);
    result.key = pickRandom(m_callerRandom, m_keys);
    result.sentAtMs = nowMs();
    const bool crashes = result.kind == call_kind::Streaming && std::bernoulli_distribution(crashingFraction)(m_callerRandom);
    const std::string crashingPart = crashes ? m_crashingPart : std::string();
    m_oracle.recordSent(result.id, result.key, result.sentAtMs, daemon, crashingPart);
    m_demands.recordSent(result.id, daemon, result.sentAtMs);
    const bool isGet = result.kind == call_kind::Idempotent;
    std::string text = (isGet ? "GET /" : "POST /") + std::string(pathPrefixes[static_cast<std::size_t>(result.kind)])
        + "/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + result.id + "\r\nX-Api-Key: " + result.key + "\r\nX-Deadline-Ms: 4000\r\n";
    if (result.kind == call_kind::Streaming) {
        text += promptHeaders(crashingPart);
    }
    text += isGet ? "\r\n" : "Content-Length: " + std::to_string(result.id.size()) + "\r\n\r\n" + result.id;
    close_timer timeout(socket, responseTimeoutMs);
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text), errorTo(error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error) {
        co_await http::async_read_header(socket, buffer, parser, errorTo(error));
    }
    keepAlive = false;
    if (!error) {
        result.status = parser.get().result_int();
        result.hasSeal = !parser.get()["X-Response-Seal"].empty();
        co_await http::async_read(socket, buffer, parser, errorTo(error));
        result.complete = !error;
        result.body = parser.get().body();
        keepAlive = result.complete && parser.get().keep_alive();
    }
    timeout.cancel();
    result.endedAtMs = nowMs();
    m_oracle.recordCallerResult(result);
}

std::string soak_run::daemonAt(std::string_view callerAddress) const
{
    const auto found = std::ranges::find(m_daemons, callerAddress, [](const auto &daemon) -> std::string_view {
        return daemon->callerAddress();
    });
    return found == m_daemons.end() ? std::string() : (*found)->id();
}

task<void> soak_run::runCaller(int callerNumber)
{
    while (!m_finished) {
        const std::string address = co_await resolveAddress();
        if (address.empty()) {
            co_await sleepMs(100);
            continue;
        }
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)));
        tcp::socket socket(m_loop);
        boost::system::error_code error;
        co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, errorTo(error));
        bool keepAlive = !error;
        for (int i = 0; i < requestsPerConnection && keepAlive && !m_finished; ++i) {
            co_await sendRequest(socket, daemonAt(address), callerNumber, keepAlive);
            co_await sleepMs(randomBetween(m_callerRandom, 5, 60));
        }
    }
}

void soak_run::endFaults()
{
    m_injectingFaults = false;
    m_store.setMode(store_mode::Normal);
    for (const auto &networkProxy : m_storeProxies) {
        networkProxy->setMode(proxy_mode::Forward);
    }
    for (auto &endpoint : m_endpoints) {
        if (endpoint.networkProxy) {
            endpoint.networkProxy->setMode(proxy_mode::Forward);
        }
        if (endpoint.standIn) {
            endpoint.standIn->setDropResponses(false);
            endpoint.standIn->setLimit(std::nullopt);
            endpoint.standIn->setPause(0);
            endpoint.standIn->setGarbles(false);
        }
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        m_daemons[i]->sendSignal(SIGCONT);
        m_shouldRun[i] = true;
    }
}

task<void> soak_run::run()
{
    asio::co_spawn(m_loop, superviseDaemons(), asio::detached);
    co_await sleepMs(startupMs);
    for (int i = 0; i < FLAGS_callers; ++i) {
        asio::co_spawn(m_loop, runCaller(i), asio::detached);
    }
    const bool stopsOnly = FLAGS_faults == "stops";
    const bool restores = FLAGS_faults == "restores";
    const bool resets = FLAGS_faults == "resets";
    if (stopsOnly) {
        m_oracle.forbidCutResponses();
    }
    const std::int64_t end = nowMs() + static_cast<std::int64_t>(FLAGS_minutes * 60'000) - recoveryMs - finalLoadMs;
    if (!stopsOnly) {
        co_await sleepMs(calmMs);
        m_oracle.recordFaultsBegan(nowMs());
        if (restores) {
            asio::co_spawn(m_loop, keepCopies(), asio::detached);
        } else if (!resets) {
            asio::co_spawn(m_loop, poisonParts(), asio::detached);
            asio::co_spawn(m_loop, makeDemands(), asio::detached);
        }
    }
    while (nowMs() < end) {
        if (stopsOnly) {
            co_await sleepMs(randomBetween(m_random, 100, 500));
            stopNextDaemon();
        } else if (resets) {
            resetNextEndpoint();
            co_await sleepMs(randomBetween(m_random, 2000, 6000));
        } else {
            co_await sleepMs(randomBetween(m_random, 200, 1500));
            restores ? injectFaultBesideRestores() : injectFault();
        }
    }
    endFaults();
    co_await sleepMs(recoveryMs);
    m_oracle.recordFaultsEnded(nowMs());
    co_await sleepMs(finalLoadMs);
    m_finished = true;
    co_await sleepMs(1000);
    m_oracle.checkFinalState();
    m_loop.stop();
}

bool soak_run::passed() const
{
    return m_oracle.violations().empty() && m_demands.violations().empty() && std::ranges::none_of(m_daemons, [](const auto &daemon) {
               return daemon->crashed();
           });
}

void soak_run::report() const
{
    std::cout << "seed " << FLAGS_seed << ": " << m_faultCount << " faults, " << m_oracle.summary() << "; " << m_demands.summary() << "\n";
    for (const auto *violations : {&m_oracle.violations(), &m_demands.violations()}) {
        for (const auto &violation : *violations) {
            std::cout << "violation: " << violation << "\n";
        }
    }
    for (const auto &daemon : m_daemons) {
        if (daemon->crashed()) {
            std::cout << "violation: " << daemon->id() << " ended by itself\n";
        }
    }
}

}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_faults != "all" && FLAGS_faults != "stops" && FLAGS_faults != "restores" && FLAGS_faults != "resets") {
        std::cerr << "--faults must be \"all\", \"stops\", \"restores\" or \"resets\", not \"" << FLAGS_faults << "\"\n";
        return 2;
    }
    const bool ownDirectory = FLAGS_logs.empty();
    std::string directory = FLAGS_logs;
    if (ownDirectory) {
        std::string pattern = (std::filesystem::temp_directory_path() / "faultsoak-XXXXXX").string();
        directory = mkdtemp(pattern.data());
    }
    std::filesystem::create_directories(directory);
    bool passed = false;
    {
        faultsoak::asio::io_context loop(1);
        faultsoak::soak_run run(loop, directory);
        faultsoak::asio::co_spawn(loop, run.run(), faultsoak::asio::detached);
        loop.run();
        run.report();
        passed = run.passed();
    }
    if (passed && ownDirectory) {
        std::filesystem::remove_all(directory);
    } else {
        std::cout << "logs: " << directory << "\n";
    }
    return passed ? 0 : 1;
}
