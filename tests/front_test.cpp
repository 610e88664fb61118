#include "coordination/front.h"

#include "protocol/tunables.h"

#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

instant monotonicNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// A server on a port chosen by the system.
struct loopback_server
{
    httplib::Server server;
    int port = 0;
    std::thread thread;

    void start()
    {
        port = server.bind_to_any_port("127.0.0.1");
        thread = std::thread([this] {
            server.listen_after_bind();
        });
        while (!server.is_running()) {
            std::this_thread::yield();
        }
    }
    ~loopback_server()
    {
        server.stop();
        thread.join();
    }
};

/// An engine that answers `total` tokens "t0 t1 ..." and can break in the ways the tests ask for.
struct fake_engine
{
    static constexpr std::uint64_t total = 6;
    std::atomic<int> breakAfter = -1; ///< Breaks off once before this token.
    std::atomic<int> tokenDelayMs = 0;
    std::atomic<int> calls = 0;
    std::atomic<int> cut = 0; ///< Streams whose receiver went away.
    std::atomic<bool> wrongId = false;
    std::atomic<bool> sawKey = false;
    loopback_server http;

    fake_engine()
    {
        http.server.Post("/v1/completions", [this](const httplib::Request &request, httplib::Response &response) {
            serve(request, response);
        });
        http.server.Post("/bookings", [this](const httplib::Request &request, httplib::Response &response) {
            ++calls;
            sawKey = sawKey || request.has_header("Authorization") || request.has_header("X-Api-Key");
            response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
            response.status = 201;
            response.set_content("booked " + std::to_string(calls), "text/plain");
        });
        http.start();
    }

    void serve(const httplib::Request &request, httplib::Response &response)
    {
        ++calls;
        const auto id = request.get_header_value("X-Attempt-Id");
        const auto from = nlohmann::json::parse(request.body)["resume_from"].get<std::uint64_t>();
        response.set_header("X-Attempt-Id", wrongId.exchange(false) ? "other" : id);
        response.set_chunked_content_provider("text/event-stream", [this, id, index = from](std::size_t, httplib::DataSink &sink) mutable {
            std::this_thread::sleep_for(std::chrono::milliseconds(tokenDelayMs));
            if (static_cast<int>(index) == breakAfter) {
                breakAfter = -1;
                return false;
            }
            nlohmann::json choice = {{"text", "t" + std::to_string(index) + " "}};
            nlohmann::json chunk = {{"id", id}, {"index", index}};
            if (++index == total) {
                choice["finish_reason"] = "stop";
                chunk["usage"] = {{"prompt_tokens", 3}, {"completion_tokens", total}, {"cached_tokens", 1}};
            }
            chunk["choices"] = nlohmann::json::array({choice});
            const std::string text = "data: " + chunk.dump() + "\n\n" + (index == total ? "data: [DONE]\n\n" : "");
            const bool written = sink.write(text.data(), text.size());
            cut += written ? 0 : 1;
            if (index == total) {
                sink.done();
            }
            return written;
        });
    }
};

/// One daemon's caller side in front of two fake engines.
struct daemon
{
    fake_engine engines[2];
    config_holder config;
    endpoint_table endpoints;
    suspect_table suspects;
    usage_ledger usage;
    table_store store{std::make_shared<memory_table>()};
    decision_log decisions{"/dev/null"};
    std::atomic<bool> fresh = true;
    serving_context context{
        .instanceId = "d1",
        .incarnation = "i1",
        .cell = "main",
        .config = config,
        .endpoints = endpoints,
        .suspects = suspects,
        .usage = usage,
        .store = store,
        .decisions = decisions,
        .now = monotonicNow,
        .fresh =
            [this] {
                return fresh.load();
            },
        .draining =
            [] {
                return false;
            },
        .instances =
            [] {
                return std::vector<instance_info>{{.id = "a", .callerAddress = "1.1.1.1:1", .leaving = true}, {.id = "b", .callerAddress = "1.1.1.2:1"}};
            },
        .demandShare =
            [](const std::string &) {
                return 1.0;
            }};
    loopback_server http;

    daemon()
    {
        configuration parsed{.version = 1};
        parsed.organisations["dial"] = {};
        parsed.keys["k1"] = {.organisation = "dial", .hash = "secret-key-1"};
        parsed.groups["g"] = {};
        parsed.routes["open"] = {.open = true, .group = "g", .model = "reader"};
        parsed.routes["keyed"] = {.group = "g", .model = "keyed-reader"};
        parsed.routes["book"] = {.kind = route_kind::Service, .pathPrefix = "/bookings", .methods = {"POST"}, .open = true, .repeatable = false, .group = "g"};
        for (int i = 0; i < 2; ++i) {
            parsed.endpoints["e" + std::to_string(i)] = {.group = "g", .address = "127.0.0.1:" + std::to_string(engines[i].http.port)};
        }
        config.install({.parsed = parsed});
        endpoints.configure(parsed);
        registerCallerRoutes(http.server, context);
        http.start();
    }

    httplib::Client client() const
    {
        httplib::Client made("127.0.0.1", http.port);
        made.set_read_timeout(5s);
        return made;
    }
    int engineCalls() const
    {
        return engines[0].calls + engines[1].calls;
    }
};

std::string textOf(const std::string &stream)
{
    std::string text;
    std::istringstream lines(stream);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {")) {
            text += nlohmann::json::parse(line.substr(6)).at("choices").at(0).value("text", "");
        }
    }
    return text;
}

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 300 && !condition(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

constexpr const char *streamBody = R"({"model":"reader","prompt":"hello","stream":true})";
constexpr const char *wholeText = "t0 t1 t2 t3 t4 t5 ";

}

// Guards against a stream that loses, repeats or reorders tokens on its way through the daemon.
TEST(front, streams_a_completion)
{
    daemon daemon;
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(textOf(result->body), wholeText);
    EXPECT_TRUE(result->body.ends_with("data: [DONE]\n\n"));
}

}
