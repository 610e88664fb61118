// The usage of a window is reported. Then the store comes back from a copy of the middle of that window, while all daemons are killed and started again.
// Checks that the platform accepts no second report of a window with other counts.

#include "common/deployment.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

namespace review
{

namespace
{

using nlohmann::json;

constexpr std::int64_t windowMs = 5000; // Usage windows of the site, counted from the start of 1970.
constexpr std::int64_t reportedMs = 3500; // After the end of a window; the report comes within 2 s.
constexpr std::int64_t copyBeforeEndMs = 1500; // The copy is that much older than the end of the reported window.
constexpr std::int64_t awayMs = 1800; // Of the store.
constexpr std::int64_t rewriteMs = 500; // From the return of the store until the operator and the servers have written again what was lost.
constexpr std::int64_t copyIntervalMs = 250;
constexpr std::int64_t requestIntervalMs = 20;
constexpr std::int64_t restartMs = 500; // From the kill of a daemon until it is started again.
constexpr std::int64_t settleMs = 14'000; // The lease is taken 6 s after the start, and late windows are reported at once.
constexpr int serverCount = 3;
constexpr int daemonCount = 3;

std::string view(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

class usage_case
{
public:
    usage_case(asio::io_context &loop, const std::string &folder, const std::string &temporary)
        : m_loop(loop)
        , m_record(folder + "/record.txt")
        , m_store(loop, m_oracle)
    {
        writeConfiguration();
        for (int i = 0; i < serverCount; ++i) {
            startServer(i);
        }
        for (int i = 0; i < daemonCount; ++i) {
            m_daemons.push_back(std::make_unique<edge_process>(
                temporary, "edge-" + std::to_string(i), "zone-" + std::to_string(i), "127.0.0.1:" + std::to_string(m_store.endpoint().port())));
            m_daemons.back()->start();
        }
    }

    task<int> run()
    {
        if (!co_await awaitReady(m_daemons)) {
            m_record.write("the daemons did not become ready");
            co_return notRun;
        }
        asio::co_spawn(m_loop, keepCopies(), asio::detached);
        asio::co_spawn(m_loop, sendRequests(), asio::detached);
        // The lease is taken, and two whole windows are reported.
        const std::int64_t windowEnd = (unixMs() / windowMs + 4) * windowMs;
        co_await sleepMs(windowEnd + reportedMs - unixMs());
        m_record.write("before the drill: " + m_oracle.summary());
        if (withTrouble()) {
            co_await restoreStore(windowEnd - copyBeforeEndMs);
        }
        co_await sleepMs(settleMs);
        m_finished = true;
        co_await sleepMs(1000);
        m_record.write("at the end: " + m_oracle.summary());
        m_record.write("requests answered 200: " + std::to_string(m_served));
        for (const auto &violation : m_oracle.violations()) {
            m_record.write("broken: " + violation);
        }
        for (const auto &daemon : m_daemons) {
            if (daemon->hasEnded()) {
                m_record.write("a daemon ended by itself");
                co_return notRun;
            }
        }
        if (m_served == 0 || m_oracle.summary().find(" 0 usage reports") != std::string::npos) {
            co_return notRun;
        }
        co_return m_oracle.violations().empty() ? held : broken;
    }

private:
    void writeConfiguration()
    {
        const json route = {
            {"name", "book"},
            {"hostname", "host.example"},
            {"path-prefix", "/book/"},
            {"route-type", "non_idempotent"},
            {"timeout-ms", 800},
            {"target-latency-ms", 300},
            {"priority", 2},
            {"session-affinity", false},
            {"service", "bench-desk"},
            {"max-attempts", 1},
            {"auth-exempt", false},
        };
        const json document = {
            {"version", 7},
            {"routes", {route}},
            {"services", {{{"name", "bench-desk"}, {"health-path", "/healthz"}, {"max-connections", 110}}}},
            {"tenants", {{{"name", "osier"}, {"api-keys", {"key-osier"}}}}},
        };
        m_store.put("op", "config", document.dump());
    }

    void startServer(int index)
    {
        const std::string id = "desk-" + std::to_string(index);
        m_servers.push_back(std::make_unique<http_stand_in>(m_loop, [this, id](const request &message, tcp::socket &socket) {
            return serve(id, message, socket);
        }));
        const json row = {
            {"service", "bench-desk"},
            {"address", "127.0.0.1:" + std::to_string(m_servers.back()->endpoint().port())},
            {"zone", "zone-" + std::to_string(index)},
            {"version", "v1"},
            {"slots", 6},
            {"state", "ready"},
            {"cold-remaining-ms", 0},
            {"sequence", 1},
            {"born", unixMs()},
        };
        m_store.put("servers", id, row.dump());
    }

    task<bool> serve(std::string id, const request &message, tcp::socket &socket)
    {
        const std::string requestId = view(message["X-Request-Id"]);
        if (view(message["X-Expect-Instance"]) != id) {
            co_return co_await sendResponse(socket, 421, "", "X-Request-Id: " + requestId + "\r\nX-Not-Executed: 1\r\n");
        }
        m_record.write("server " + id + " runs " + requestId);
        co_await sleepMs(20);
        co_return co_await sendResponse(
            socket, 200, "booked", "X-Request-Id: " + requestId + "\r\nX-Response-Seal: seal-" + requestId + "\r\nKeep-Alive: timeout=5\r\n");
    }

    task<void> keepCopies()
    {
        while (!m_restored) {
            m_store.keepCopy();
            co_await sleepMs(copyIntervalMs);
        }
    }

    task<void> restoreStore(std::int64_t copyUnixMs)
    {
        m_restored = true;
        m_store.setMode(store_mode::Unavailable);
        m_record.write("the store goes away");
        co_await sleepMs(awayMs - restartMs);
        for (const auto &daemon : m_daemons) {
            daemon->signal(SIGKILL);
        }
        m_record.write("all daemons are killed");
        co_await sleepMs(restartMs);
        const std::int64_t ageMs = unixMs() - copyUnixMs;
        m_store.restore(ageMs);
        m_store.setMode(store_mode::Normal);
        m_record.write("the store is back from a copy that is " + std::to_string(ageMs) + " ms old");
        for (const auto &daemon : m_daemons) {
            if (!daemon->hasEnded()) {
                throw std::runtime_error("a daemon outlived SIGKILL");
            }
            daemon->start();
        }
        m_record.write("the daemons are started again");
        co_await sleepMs(rewriteMs);
        m_store.writeLostRowsAgain();
    }

    task<void> sendRequests()
    {
        for (int count = 0; !m_finished; ++count) {
            asio::co_spawn(m_loop, sendOne(count), asio::detached);
            co_await sleepMs(requestIntervalMs);
        }
    }

    task<void> sendOne(int count)
    {
        const std::string id = "booking-" + std::to_string(count);
        const auto &daemon = m_daemons[static_cast<std::size_t>(count % daemonCount)];
        const std::map<std::string, std::string> fields{{"Host", "host.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}, {"X-Api-Key", "key-osier"}};
        const std::string body = json{{"slot", count}}.dump();
        const auto answer = co_await sendRequest(daemon->front, http::verb::post, "/book/1", fields, body, 1500);
        m_served += answer.status == 200 ? 1 : 0;
        m_record.write("request " + id + " answered " + std::to_string(answer.status));
    }

    asio::io_context &m_loop;
    record m_record;
    oracle m_oracle;
    store_stand_in m_store;
    std::vector<std::unique_ptr<http_stand_in>> m_servers;
    std::vector<std::unique_ptr<edge_process>> m_daemons;
    int m_served = 0;
    bool m_restored = false;
    bool m_finished = false;
};

}

}

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case FOLDER TEMPORARY_FOLDER\n";
        return review::notRun;
    }
    return review::runCase<review::usage_case>(argv[1], argv[2]);
}
