// lacewinglock-faultsoak: real daemons as separate processes on loopback, faults from outside them, and an oracle that judges what callers and
// endpoints see. The same seed gives the same faults at the same times; the processes themselves are not deterministic.

#include "soak/loop.h"
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

DEFINE_uint64(seed, 1, "seed of the faults");
DEFINE_double(minutes, 1, "length of the run");
DEFINE_int32(processes, 5, "daemons");
DEFINE_int32(callers, 16, "callers that send one request after the other");
DEFINE_string(edge, "build/lacewinglock-edge", "program under test");
DEFINE_string(logs, "", "folder for settings and logs; by default a new one under the temporary folder");

namespace faultsoak
{

namespace
{

using nlohmann::json;

constexpr std::int64_t startMs = 3000; // Daemons read the configuration and each other's summaries.
constexpr std::int64_t healMs = 12000; // At the end: faults are over, leases and lists settle.
constexpr std::int64_t tailMs = 6000; // Requests that tell whether the system recovered.
constexpr int plainEndpoints = 4;
constexpr int streamEndpoints = 3;
constexpr int requestsPerConnection = 15;
constexpr std::int64_t addressLimitMs = 1000; // An address answer takes a few milliseconds.
constexpr std::int64_t answerLimitMs = 6000; // Above every route's timeout.

std::vector<std::string> keyNames()
{
    return {"key-a", "key-b", "key-c", "key-d"};
}

class soak_run
{
public:
    soak_run(asio::io_context &loop, const std::string &directory);
    task<void> run();
    bool passed() const;
    void report() const;

private:
    struct placed_endpoint
    {
        std::unique_ptr<endpoint_stand_in> process;
        std::unique_ptr<proxy> link;
        bool streams = false;
        bool listed = true;
    };

    std::int64_t between(std::int64_t low, std::int64_t high);
    template <typename Container>
    auto &pick(Container &from)
    {
        return from[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(from.size()) - 1))];
    }

    void addEndpoint(bool streams);
    void list(const placed_endpoint &endpoint, std::string_view state);
    void writeConfiguration();
    void injectFault();
    task<void> harmLink(proxy &link, link_mode mode, std::int64_t time, bool storeLink);
    task<void> harmStore(store_mode mode, std::int64_t time);
    task<void> pauseDaemon(std::size_t index, std::int64_t time);
    task<void> stopDaemon(std::size_t index, int signal, std::int64_t downTime);
    task<void> replaceEndpoint(std::size_t index, bool drains);
    task<void> loseAnswers(std::size_t index, std::int64_t time);
    task<void> keepDaemons();
    task<void> call(int number);
    task<void> callOnce(tcp::socket &socket, int number, bool &keep);
    task<std::string> askAddress();
    void heal();

    asio::io_context &m_loop;
    std::mt19937_64 m_random;
    oracle m_oracle;
    store_stand_in m_store;
    std::vector<std::unique_ptr<proxy>> m_storeLinks; ///< One per daemon.
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::vector<bool> m_wanted; ///< Daemons that are to run.
    std::vector<placed_endpoint> m_endpoints;
    std::vector<std::unique_ptr<endpoint_stand_in>> m_ended; ///< Their connections may still be closing.
    std::vector<std::unique_ptr<proxy>> m_endedLinks;
    std::vector<std::string> m_keys = keyNames();
    std::vector<std::string> m_active = keyNames();
    int m_version = 0;
    int m_nextEndpoint = 0;
    std::uint64_t m_nextRequest = 0;
    bool m_faulty = true;
    bool m_done = false;
    int m_faults = 0;
};

soak_run::soak_run(asio::io_context &loop, const std::string &directory)
    : m_loop(loop)
    , m_random(FLAGS_seed)
    , m_store(loop, m_oracle)
{
    for (std::size_t i = 0; i < m_keys.size(); ++i) {
        m_oracle.noteKey(m_keys[i], "org-" + std::to_string(i));
    }
    for (int i = 0; i < plainEndpoints + streamEndpoints; ++i) {
        addEndpoint(i >= plainEndpoints);
    }
    writeConfiguration();
    for (int i = 0; i < FLAGS_processes; ++i) {
        m_storeLinks.push_back(std::make_unique<proxy>(loop, m_store.endpoint()));
        m_daemons.push_back(std::make_unique<daemon_process>(
            FLAGS_edge, directory, "daemon-" + std::to_string(i), "domain-" + std::to_string(i % 3), m_storeLinks.back()->address()));
        m_daemons.back()->start();
        m_wanted.push_back(true);
    }
}

std::int64_t soak_run::between(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

void soak_run::list(const placed_endpoint &endpoint, std::string_view state)
{
    json row = {
        {"service", endpoint.streams ? "engines" : "desk"},
        {"address", endpoint.link->address()},
        {"zone", "domain-0"},
        {"version", "v1"},
        {"slots", 6},
        {"state", state},
        {"cold-remaining-ms", 0},
        {"sequence", 1},
    };
    if (endpoint.streams) {
        row["stage"] = "decode";
    }
    m_store.put("servers", endpoint.process->id(), row.dump());
}

void soak_run::addEndpoint(bool streams)
{
    placed_endpoint one;
    one.streams = streams;
    one.process = std::make_unique<endpoint_stand_in>(m_loop, m_oracle, "e" + std::to_string(++m_nextEndpoint), streams, m_random());
    one.link = std::make_unique<proxy>(m_loop, one.process->endpoint());
    list(one, "ready");
    m_endpoints.push_back(std::move(one));
}

void soak_run::writeConfiguration()
{
    m_version += static_cast<int>(between(1, 3));
    const auto route = [](std::string name, std::string kind, std::string service, int attempts, int timeout) {
        return json{{"name", name},
                    {"hostname", "host.example"},
                    {"path-prefix", "/" + name + "/"},
                    {"route-type", kind},
                    {"timeout-ms", timeout},
                    {"target-latency-ms", 300},
                    {"priority", 1},
                    {"service", service},
                    {"max-attempts", attempts},
                    {"auth-exempt", false}};
    };
    json tenants = json::array();
    for (std::size_t i = 0; i < m_keys.size(); ++i) {
        json keys = json::array();
        if (std::ranges::find(m_active, m_keys[i]) != m_active.end()) {
            keys.push_back(m_keys[i]);
        }
        tenants.push_back({{"name", "org-" + std::to_string(i)}, {"api-keys", keys}});
    }
    const json document = {
        {"version", m_version},
        {"routes", {route("read", "safe", "desk", 2, 1000), route("book", "non_idempotent", "desk", 1, 1000), route("gen", "streaming", "engines", 1, 3000)}},
        {"services",
         {{{"name", "desk"}, {"health-path", "/healthz"}, {"max-connections", 200}},
          {{"name", "engines"}, {"health-path", "/healthz"}, {"max-connections", 200}}}},
        {"tenants", tenants},
    };
    m_store.put("op", "config", document.dump());
}

task<void> soak_run::harmLink(proxy &link, link_mode mode, std::int64_t time, bool storeLink)
{
    link.setMode(mode);
    for (std::int64_t left = time; left > 0 && m_faulty; left -= 100) {
        if (storeLink) {
            m_oracle.noteStoreFault(nowMs());
        }
        co_await sleepMs(std::min<std::int64_t>(left, 100));
    }
    link.setMode(link_mode::Pass);
    if (storeLink) {
        m_oracle.noteStoreFault(nowMs());
    }
}

task<void> soak_run::harmStore(store_mode mode, std::int64_t time)
{
    m_store.setMode(mode);
    co_await sleepMs(time);
    m_store.setMode(store_mode::Up);
    m_oracle.noteStoreFault(nowMs());
}

task<void> soak_run::pauseDaemon(std::size_t index, std::int64_t time)
{
    m_daemons[index]->signal(SIGSTOP);
    for (std::int64_t left = time; left > 0; left -= 100) {
        m_oracle.noteStoreFault(nowMs()); // The bounds do not hold for a frozen daemon.
        co_await sleepMs(100);
    }
    m_daemons[index]->signal(SIGCONT);
    m_oracle.noteStoreFault(nowMs());
}

task<void> soak_run::stopDaemon(std::size_t index, int signal, std::int64_t downTime)
{
    if (!m_wanted[index]) {
        co_return;
    }
    m_wanted[index] = false;
    m_daemons[index]->signal(SIGCONT);
    m_daemons[index]->signal(signal);
    co_await sleepMs(downTime);
    m_wanted[index] = true;
}

// A crashed endpoint comes back as another one; a draining one serves on for longer than the bound, then leaves.
task<void> soak_run::replaceEndpoint(std::size_t index, bool drains)
{
    auto &endpoint = m_endpoints[index];
    if (!endpoint.listed) {
        co_return;
    }
    endpoint.listed = false;
    const std::string id = endpoint.process->id();
    if (drains) {
        list(endpoint, "draining");
        m_oracle.noteLeaving(id, nowMs());
        co_await sleepMs(between(4000, 6000));
    }
    m_endpoints[index].process->crash();
    co_await sleepMs(between(300, 1500));
    m_store.remove("servers", id);
    const bool streams = m_endpoints[index].streams;
    m_ended.push_back(std::move(m_endpoints[index].process));
    m_endedLinks.push_back(std::move(m_endpoints[index].link));
    addEndpoint(streams);
    m_endpoints[index] = std::move(m_endpoints.back());
    m_endpoints.pop_back();
}

task<void> soak_run::loseAnswers(std::size_t index, std::int64_t time)
{
    const std::string id = m_endpoints[index].process->id();
    m_endpoints[index].process->loseAnswers(true);
    co_await sleepMs(time);
    if (m_endpoints[index].process && m_endpoints[index].process->id() == id) {
        m_endpoints[index].process->loseAnswers(false);
    }
}

void soak_run::injectFault()
{
    ++m_faults;
    const auto daemon = static_cast<std::size_t>(between(0, FLAGS_processes - 1));
    const auto endpoint = static_cast<std::size_t>(between(0, static_cast<std::int64_t>(m_endpoints.size()) - 1));
    const std::int64_t time = between(500, 6000);
    const auto mode = static_cast<link_mode>(between(1, 4));
    const auto start = [&](task<void> fault) {
        asio::co_spawn(m_loop, std::move(fault), asio::detached);
    };
    switch (between(0, 11)) {
    case 0:
    case 1:
        return start(stopDaemon(daemon, SIGKILL, time));
    case 2:
        return start(stopDaemon(daemon, SIGTERM, time));
    case 3:
        return start(pauseDaemon(daemon, time));
    case 4:
        return start(harmLink(*m_storeLinks[daemon], mode, time, true));
    case 5:
        return start(harmStore(static_cast<store_mode>(between(1, 3)), time));
    case 6:
        if (m_endpoints[endpoint].link) {
            start(harmLink(*m_endpoints[endpoint].link, mode, time, false));
        }
        return;
    case 7:
        if (m_endpoints[endpoint].link) {
            m_endpoints[endpoint].link->resetConnections();
        }
        return;
    case 8:
        return start(replaceEndpoint(endpoint, false));
    case 9:
        return start(replaceEndpoint(endpoint, true));
    case 10:
        return start(loseAnswers(endpoint, time));
    default:
        if (between(0, 3) == 0 && m_active.size() > 1) {
            const std::string key = pick(m_active);
            std::erase(m_active, key);
            writeConfiguration();
            m_oracle.noteWithdrawn(key, nowMs());
        } else if (between(0, 2) == 0) {
            m_store.compact();
        } else {
            writeConfiguration();
        }
    }
}

task<void> soak_run::keepDaemons()
{
    while (!m_done) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i]->ended() && m_wanted[i]) {
                m_daemons[i]->start();
            }
        }
        co_await sleepMs(50);
    }
}

task<std::string> soak_run::askAddress()
{
    const auto address = pick(m_daemons)->addressesAddress();
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)));
    tcp::socket socket(m_loop);
    close_timer limit(socket, addressLimitMs);
    boost::system::error_code error;
    co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, errorTo(error));
    const std::string ask = "GET /-/resolve?name=host.example&region=r&zone=domain-0 HTTP/1.1\r\nHost: d\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(ask), errorTo(error));
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    co_await http::async_read(socket, buffer, answer, errorTo(error));
    limit.cancel();
    const auto document = error ? json() : json::parse(answer.body(), nullptr, false);
    if (!document.is_object() || !document.contains("addresses") || document["addresses"].empty()) {
        co_return std::string();
    }
    const auto addresses = document["addresses"].get<std::vector<std::string>>();
    co_return addresses[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(addresses.size()) - 1))];
}

// One request and its answer. The connection may be kept only behind a whole answer.
task<void> soak_run::callOnce(tcp::socket &socket, int number, bool &keep)
{
    static constexpr std::array<std::string_view, 3> prefixes{"read", "book", "gen"};
    caller_view view;
    view.kind = static_cast<call_kind>(between(0, 2));
    view.id = "r" + std::to_string(FLAGS_seed) + "-" + std::to_string(number) + "-" + std::to_string(++m_nextRequest);
    view.key = pick(m_keys);
    view.sentAt = nowMs();
    m_oracle.noteSent(view.id, view.key, view.sentAt);
    const bool reads = view.kind == call_kind::Read;
    std::string text = (reads ? "GET /" : "POST /") + std::string(prefixes[static_cast<std::size_t>(view.kind)])
        + "/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + view.id + "\r\nX-Api-Key: " + view.key + "\r\nX-Deadline-Ms: 4000\r\n";
    text += reads ? "\r\n" : "Content-Length: " + std::to_string(view.id.size()) + "\r\n\r\n" + view.id;
    close_timer limit(socket, answerLimitMs);
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text), errorTo(error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error) {
        co_await http::async_read_header(socket, buffer, parser, errorTo(error));
    }
    keep = false;
    if (!error) {
        view.status = parser.get().result_int();
        view.sealed = !parser.get()["X-Response-Seal"].empty();
        co_await http::async_read(socket, buffer, parser, errorTo(error));
        view.whole = !error;
        view.body = parser.get().body();
        keep = view.whole && parser.get().keep_alive();
    }
    limit.cancel();
    view.endedAt = nowMs();
    m_oracle.noteCaller(view);
}

task<void> soak_run::call(int number)
{
    while (!m_done) {
        const std::string address = co_await askAddress();
        if (address.empty()) {
            co_await sleepMs(100);
            continue;
        }
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)));
        tcp::socket socket(m_loop);
        boost::system::error_code error;
        co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, errorTo(error));
        bool keep = !error;
        for (int i = 0; i < requestsPerConnection && keep && !m_done; ++i) {
            co_await callOnce(socket, number, keep);
            co_await sleepMs(between(5, 60));
        }
    }
}

void soak_run::heal()
{
    m_faulty = false;
    m_store.setMode(store_mode::Up);
    for (const auto &link : m_storeLinks) {
        link->setMode(link_mode::Pass);
    }
    for (auto &endpoint : m_endpoints) {
        if (endpoint.link) {
            endpoint.link->setMode(link_mode::Pass);
        }
        if (endpoint.process) {
            endpoint.process->loseAnswers(false);
        }
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        m_daemons[i]->signal(SIGCONT);
        m_wanted[i] = true;
    }
}

task<void> soak_run::run()
{
    asio::co_spawn(m_loop, keepDaemons(), asio::detached);
    co_await sleepMs(startMs);
    for (int i = 0; i < FLAGS_callers; ++i) {
        asio::co_spawn(m_loop, call(i), asio::detached);
    }
    const std::int64_t end = nowMs() + static_cast<std::int64_t>(FLAGS_minutes * 60'000) - healMs - tailMs;
    while (nowMs() < end) {
        co_await sleepMs(between(200, 1500));
        injectFault();
    }
    heal();
    co_await sleepMs(healMs);
    m_oracle.noteHealed(nowMs());
    co_await sleepMs(tailMs);
    m_done = true;
    co_await sleepMs(1000);
    m_oracle.finish();
    m_loop.stop();
}

bool soak_run::passed() const
{
    return m_oracle.violations().empty() && std::ranges::none_of(m_daemons, [](const auto &daemon) {
               return daemon->crashed();
           });
}

void soak_run::report() const
{
    std::cout << "seed " << FLAGS_seed << ": " << m_faults << " faults, " << m_oracle.summary() << "\n";
    for (const auto &violation : m_oracle.violations()) {
        std::cout << "violation: " << violation << "\n";
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
    const bool ownFolder = FLAGS_logs.empty();
    std::string directory = FLAGS_logs;
    if (ownFolder) {
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
    if (passed && ownFolder) {
        std::filesystem::remove_all(directory);
    } else {
        std::cout << "logs: " << directory << "\n";
    }
    return passed ? 0 : 1;
}
