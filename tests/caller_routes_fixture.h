#pragma once

#include "coordination/caller_routes.h"
#include "protocol/api_keys.h"
#include "transport/caller_server.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lacewinglock
{

using namespace std::chrono_literals;

inline instant monotonicNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// An HTTP server on a loopback port chosen by the system.
struct loopback_server
{
    std::unique_ptr<httplib::Server> owned = std::make_unique<caller_server>();
    httplib::Server &server = *owned;
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

/// Binds a port without listening, so that connections to it are refused and the system gives it to no other process.
class reserved_port
{
public:
    explicit reserved_port(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(port)), .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        m_isBound = ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    ~reserved_port()
    {
        ::close(m_socket);
    }
    reserved_port(const reserved_port &) = delete;
    reserved_port &operator=(const reserved_port &) = delete;

    bool isBound() const
    {
        return m_isBound;
    }

private:
    int m_socket;
    bool m_isBound = false;
};

/// An engine that generates `total` tokens "t0 t1 ..." and fails as the tests configure it.
struct fake_engine
{
    static constexpr std::uint64_t total = 6;
    std::atomic<int> disconnectBeforeToken = -1; ///< Closes the connection once, before the token with this index; -1 for never.
    std::atomic<int> tokenDelayMs = 0;
    std::atomic<int> calls = 0;
    std::atomic<int> disconnectedStreams = 0; ///< Streams whose receiver closed the connection.
    std::atomic<bool> sendWrongAttemptId = false;
    std::atomic<bool> receivedKey = false;
    std::mutex mutex;
    std::string headers; ///< All received headers, guarded by the mutex.
    loopback_server http;

    fake_engine()
    {
        http.server.set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &) {
            const std::lock_guard lock(mutex);
            for (const auto &[name, value] : request.headers) {
                headers.append(request.target).append(" ").append(name).append(": ").append(value).append("\n");
            }
            return httplib::Server::HandlerResponse::Unhandled;
        });
        http.server.Post("/v1/chat/completions", [this](const httplib::Request &request, httplib::Response &response) {
            serve(request, response);
        });
        http.server.Post("/v1/completions", [this](const httplib::Request &request, httplib::Response &response) {
            serve(request, response);
        });
        http.server.Post("/bookings", [this](const httplib::Request &request, httplib::Response &response) {
            ++calls;
            receivedKey = receivedKey || request.has_header("Authorization") || request.has_header("X-Api-Key");
            response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
            response.status = 201;
            response.set_header("Location", "/bookings/7");
            response.set_header("ETag", "\"v7\"");
            response.set_header("Cache-Control", "private");
            response.set_header("X-Unlisted", "kept");
            response.set_header("Set-Cookie", "session=1");
            response.set_header("Connection", "close, X-Hop");
            response.set_header("X-Hop", "1");
            response.set_header("Proxy-Authenticate", "Basic");
            response.set_header("X-Request-Id", "of-the-service");
            response.set_content("booked " + std::to_string(calls), "text/plain");
        });
        http.start();
    }

    void serve(const httplib::Request &request, httplib::Response &response)
    {
        ++calls;
        const auto id = request.get_header_value("X-Attempt-Id");
        const bool chat = request.path.find("chat") != std::string::npos;
        const auto from = nlohmann::json::parse(request.body)["resume_from"].get<std::uint64_t>();
        response.set_header("X-Attempt-Id", sendWrongAttemptId.exchange(false) ? "other" : id);
        response.set_chunked_content_provider("text/event-stream", [this, id, chat, index = from](std::size_t, httplib::DataSink &sink) mutable {
            std::this_thread::sleep_for(std::chrono::milliseconds(tokenDelayMs));
            if (static_cast<int>(index) == disconnectBeforeToken) {
                disconnectBeforeToken = -1;
                return false;
            }
            const std::string token = "t" + std::to_string(index) + " ";
            nlohmann::json choice = chat ? nlohmann::json{{"delta", {{"content", token}}}} : nlohmann::json{{"text", token}};
            nlohmann::json chunk = {{"id", id}, {"index", index}};
            if (++index == total) {
                choice["finish_reason"] = "stop";
                chunk["usage"] = {{"prompt_tokens", 3}, {"completion_tokens", total}, {"cached_tokens", 1}};
            }
            chunk["choices"] = nlohmann::json::array({choice});
            const std::string text = "data: " + chunk.dump() + "\n\n" + (index == total ? "data: [DONE]\n\n" : "");
            const bool written = sink.write(text.data(), text.size());
            disconnectedStreams += written ? 0 : 1;
            if (index == total) {
                sink.done();
            }
            return written;
        });
    }
};

/// The caller routes of one daemon, with two fake engines.
struct daemon
{
    fake_engine engines[2];
    config_holder config;
    endpoint_table endpoints;
    suspect_table suspects;
    usage_ledger usage;
    table_store store{std::make_shared<memory_table>()};
    decision_ring recent{1U << 20U};
    decision_log decisions;
    std::atomic<bool> fresh = true;
    metrics metricsRegistry;
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
            },
        .metricsRegistry = &metricsRegistry};
    loopback_server http;

    explicit daemon(std::unique_ptr<httplib::Server> server = std::make_unique<caller_server>(), const std::string &decisionFile = "/dev/null")
        : decisions(decisionFile, &recent)
        , http{.owned = std::move(server)}
    {
        configuration parsed{.version = 1};
        parsed.organisations["dial"] = {};
        parsed.keys["k1"] = {.organisation = "dial", .salt = "00", .hash = sha256Hex("00lw_k1_secretkey1")};
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
    /// Reports a long queue at the second engine, so that first attempts go to the first engine.
    void preferFirstEngine()
    {
        endpoints.applyReport({.endpoint = "e0", .freeKvTokens = 100000}, monotonicNow());
        endpoints.applyReport({.endpoint = "e1", .queuedPromptTokens = 50000, .freeKvTokens = 100000}, monotonicNow());
    }
    int engineCalls() const
    {
        return engines[0].calls + engines[1].calls;
    }
};

inline std::string streamedText(const std::string &stream)
{
    std::string text;
    std::istringstream lines(stream);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {") && line.find("\"error\"") == std::string::npos) {
            text += nlohmann::json::parse(line.substr(6)).at("choices").at(0).value("text", "");
        }
    }
    return text;
}

inline bool hasLine(const std::string &text, const std::string &line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

inline bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 300 && !condition(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

inline constexpr const char *streamingRequestBody = R"({"model":"reader","prompt":"hello","stream":true})";
inline constexpr const char *expectedText = "t0 t1 t2 t3 t4 t5 ";

}
