#include "caller_routes_fixture.h"
#include "protocol/tunables.h"

#include <filesystem>
#include <fstream>
#include <glog/logging.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace lacewinglock
{

namespace
{

constexpr const char *secret = "secretkey1"; // Secret part of the fixture's API key.
constexpr const char *apiKey = "lw_k1_secretkey1";
constexpr const char *promptMarker = "PROMPTMARK";
constexpr auto headerLimit = 400ms;
constexpr auto bodyLimit = 800ms;

caller_limits testLimits()
{
    return {.headerTimeout = headerLimit, .bodyTimeout = bodyLimit, .headerBytes = 16U << 10U};
}

/// A TCP connection that sends arbitrary bytes.
class raw_connection
{
public:
    explicit raw_connection(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval timeout{.tv_sec = 6}; // An idle connection stays open for the 5 s of CPPHTTPLIB_KEEPALIVE_TIMEOUT_SECOND.
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        const sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(port)), .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }
    ~raw_connection()
    {
        ::close(m_socket);
    }
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    /// Returns false once the peer has closed the connection.
    bool send(std::string_view text) const
    {
        while (!text.empty()) {
            const auto sent = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    void endSending() const
    {
        ::shutdown(m_socket, SHUT_WR);
    }
    /// Reads until the connection closes. Returns nothing if it stays open past the receive timeout.
    std::optional<std::string> readToClose() const
    {
        std::string received;
        std::array<char, 4096> buffer{};
        while (true) {
            const auto got = ::recv(m_socket, buffer.data(), buffer.size(), 0);
            if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                return std::nullopt;
            }
            if (got <= 0) {
                return received;
            }
            received.append(buffer.data(), static_cast<std::size_t>(got));
        }
    }

private:
    int m_socket;
};

std::string makePost(const std::string &path, const std::string &body, const std::string &headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + headers + "\r\n" + body;
}

/// True for a 4xx response and for a connection closed without a response.
bool isRefused(const std::optional<std::string> &answer)
{
    return answer && (answer->empty() || answer->starts_with("HTTP/1.1 4"));
}

/// Captures all log lines of this process during its lifetime.
struct log_capture : google::LogSink
{
    std::mutex mutex;
    std::string text;

    log_capture()
    {
        google::AddLogSink(this);
    }
    ~log_capture() override
    {
        google::RemoveLogSink(this);
    }
    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &, const char *message, std::size_t size) override
    {
        const std::lock_guard lock(mutex);
        text.append(message, size).push_back('\n');
    }
};

/// Path of a temporary file that is removed on destruction.
struct temporary_file
{
    std::string path;

    explicit temporary_file(const std::string &name)
        : path(std::filesystem::temp_directory_path() / ("lacewinglock-" + std::to_string(::getpid()) + "-" + name))
    {
    }
    ~temporary_file()
    {
        std::filesystem::remove(path);
    }
    std::string content() const
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }
};

void writeCertificate(const std::string &certificatePath, const std::string &keyPath)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME *name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    X509_EXTENSION *host = X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
    X509_add_ext(certificate, host, -1);
    X509_sign(certificate, key, EVP_sha256());
    std::FILE *certificateFile = std::fopen(certificatePath.c_str(), "we");
    PEM_write_X509(certificateFile, certificate);
    std::fclose(certificateFile);
    std::FILE *keyFile = std::fopen(keyPath.c_str(), "we");
    PEM_write_PrivateKey(keyFile, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(keyFile);
    X509_EXTENSION_free(host);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

void expectServing(const daemon &daemon)
{
    const auto result = daemon.client().Post("/v1/completions", streamingRequestBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(streamedText(result->body), expectedText);
}

}

// Guards against callers that occupy a thread indefinitely by sending header bytes one at a time (slowloris).
TEST(hostile_input, limits_the_total_time_for_headers)
{
    daemon daemon(std::make_unique<caller_server>(testLimits()));
    const raw_connection slow(daemon.http.port);
    ASSERT_TRUE(slow.send("GET /healthz HTTP/1.1\r\nX-Slow: "));
    const auto start = std::chrono::steady_clock::now();
    while (slow.send("a") && std::chrono::steady_clock::now() - start < 5s) {
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - start, 2s);
    EXPECT_GE(std::chrono::steady_clock::now() - start, headerLimit - 100ms);
    expectServing(daemon);
}

// Guards against memory exhaustion by unlimited headers, both many headers and one long line.
TEST(hostile_input, limits_the_total_size_of_headers)
{
    daemon daemon(std::make_unique<caller_server>(testLimits()));
    const raw_connection many(daemon.http.port);
    many.send("GET /healthz HTTP/1.1\r\n");
    for (int i = 0; i < 1000 && many.send("X-H" + std::to_string(i) + ": " + std::string(100, 'a') + "\r\n"); ++i) {
    }
    many.send("\r\n");
    EXPECT_TRUE(isRefused(many.readToClose()));
    const raw_connection longLine(daemon.http.port);
    longLine.send("GET /healthz HTTP/1.1\r\nX-Long: " + std::string(12000, 'a') + "\r\n\r\n");
    longLine.endSending();
    const auto answer = longLine.readToClose();
    EXPECT_TRUE(isRefused(answer)) << answer.value_or("open").substr(0, 60);
    expectServing(daemon);
}

// Guards against requests that occupy a thread indefinitely because the rest of their body never arrives.
TEST(hostile_input, limits_the_time_for_the_body)
{
    daemon daemon(std::make_unique<caller_server>(testLimits()));
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"model\":";
    const raw_connection waiting(daemon.http.port);
    waiting.send(head);
    EXPECT_TRUE(isRefused(waiting.readToClose()));
    const raw_connection closed(daemon.http.port);
    closed.send(head);
    closed.endSending();
    EXPECT_TRUE(isRefused(closed.readToClose()));
    EXPECT_EQ(daemon.engineCalls(), 0);
    expectServing(daemon);
}

// Guards against bytes after a request that are parsed as part of it, answered as a second request or crash the daemon (request smuggling).
TEST(hostile_input, answers_a_request_and_rejects_garbage_after_it)
{
    daemon daemon;
    const raw_connection pipelined(daemon.http.port);
    pipelined.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n\x01\x02garbage\xff\r\n\r\n");
    const auto answer = pipelined.readToClose();
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->starts_with("HTTP/1.1 200")) << *answer;
    EXPECT_EQ(answer->find("HTTP/1.1 200", 1), std::string::npos);
    const raw_connection bothLengths(daemon.http.port);
    bothLengths.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(isRefused(bothLengths.readToClose()));
    expectServing(daemon);
}

// Guards against API keys and prompt text in the decision log, refusals, forwarded headers and log lines, for valid and invalid requests.
// Also guards against invalid requests that are forwarded to an engine.
TEST(hostile_input, does_not_leak_keys_or_prompts)
{
    const std::string mark = promptMarker;
    const std::string validBody = R"({"model":"keyed-reader","prompt":")" + mark + R"("})";
    const std::string authorisation = std::string("Authorization: Bearer ") + apiKey + "\r\n";
    const std::vector<std::string> invalidRequests = {
        makePost("/v1/completions?key=" + std::string(apiKey), validBody),
        makePost("/v1/completions?note=" + std::string(apiKey), validBody, authorisation),
        makePost("/v1/completions", R"({"model":"reader","prompt":")" + mark + R"(","api_key":")" + apiKey + "\"}"),
        makePost("/v1/completions", R"({"model":"reader","prompt":")" + mark + ' ' + apiKey + "\"}"),
        makePost("/v1/completions", R"({"model":"reader","prompt":"x"})", std::string("Cookie: session=") + apiKey + "\r\n"),
        makePost("/v1/completions", R"({"model":"reader","prompt":"x"})", std::string("X-Key: ") + apiKey + "\r\n"),
        makePost("/v1/completions", validBody, std::string("Authorization: Bearer ") + apiKey + "x\r\n"),
        makePost("/v1/completions", validBody, std::string("Authorization: Basic ") + apiKey + "\r\n"),
        makePost("/v1/completions", validBody, authorisation + authorisation),
        makePost("/v1/completions", validBody),
        makePost("/bookings/" + std::string(apiKey), mark),
        makePost("/v1/completions", R"({"model":"reader","prompt":")" + mark + "\xff\xfe\"}"),
        makePost("/v1/completions", R"({"model":"reader","prompt":")" + mark),
        makePost("/v1/completions", R"({"model":"reader","prompt":")" + mark + R"(","x":)" + std::string(100000, '[')),
        makePost("/v1/completions", R"({"model":")" + mark + R"(","prompt":"x"})"),
        makePost("/v1/completions", mark + std::string(tunables::maxBodyBytes, 'x')),
        makePost("/" + mark, "x"),
    };
    const temporary_file decisions("decisions");
    log_capture log;
    std::string refusals;
    std::string forwarded;
    {
        daemon daemon(std::make_unique<caller_server>(testLimits()), decisions.path);
        for (const auto &text : invalidRequests) {
            const raw_connection caller(daemon.http.port);
            caller.send(text);
            const auto answer = caller.readToClose();
            EXPECT_TRUE(isRefused(answer)) << text.substr(0, 200) << " -> " << answer.value_or("open").substr(0, 200);
            refusals += answer.value_or("");
        }
        EXPECT_EQ(daemon.engineCalls(), 0);
        daemon.engines[0].disconnectBeforeToken = 2;
        const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + apiKey}, {"X-Trace", "1"}, {"Cookie", "a=b"}};
        const auto served = daemon.client().Post("/v1/completions", headers, validBody, "application/json");
        EXPECT_TRUE(served && served->status == 200);
        daemon.client().Post("/bookings", headers, mark, "text/plain");
        daemon.engines[0].http.server.stop();
        daemon.engines[1].http.server.stop();
        // Idle connections are reused for 1 s. One that closes during a call counts as a crash, and the request would then wait as a suspect.
        std::this_thread::sleep_for(std::chrono::milliseconds(1100));
        const auto failed = daemon.client().Post("/v1/completions", headers, validBody, "application/json");
        ASSERT_TRUE(failed);
        EXPECT_EQ(failed->status, 503);
        refusals += failed->body;
        for (auto &engine : daemon.engines) {
            const std::lock_guard lock(engine.mutex);
            forwarded += engine.headers;
        }
    }
    const std::string recorded = decisions.content();
    EXPECT_NE(recorded.find("\"kind\":\"route\""), std::string::npos);
    EXPECT_NE(forwarded.find("X-Attempt-Id"), std::string::npos);
    EXPECT_NE(log.text.find("failed"), std::string::npos);
    for (const std::string &text : {recorded, refusals, forwarded, log.text}) {
        EXPECT_EQ(text.find(secret), std::string::npos) << text.substr(text.find(secret) > 200 ? text.find(secret) - 200 : 0, 400);
        EXPECT_EQ(text.find(promptMarker), std::string::npos) << text.substr(text.find(promptMarker) > 200 ? text.find(promptMarker) - 200 : 0, 400);
    }
}

// Guards against chat completions in the wrong format, both streamed and not streamed.
TEST(hostile_input, serves_chat_completions_end_to_end)
{
    daemon daemon;
    const std::string messages = R"("model":"reader","messages":[{"role":"user","content":"hello"}])";
    const auto whole = daemon.client().Post("/v1/chat/completions", "{" + messages + "}", "application/json");
    ASSERT_TRUE(whole);
    const auto body = nlohmann::json::parse(whole->body);
    EXPECT_EQ(body["object"], "chat.completion");
    EXPECT_EQ(body["choices"][0]["message"]["role"], "assistant");
    EXPECT_EQ(body["choices"][0]["message"]["content"], expectedText);
    const auto stream = daemon.client().Post("/v1/chat/completions", "{" + messages + R"(,"stream":true})", "application/json");
    ASSERT_TRUE(stream);
    std::string text;
    std::istringstream lines(stream->body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {")) {
            const auto chunk = nlohmann::json::parse(line.substr(6));
            EXPECT_EQ(chunk["object"], "chat.completion.chunk");
            text += chunk["choices"][0]["delta"].value("content", "");
        }
    }
    EXPECT_EQ(text, expectedText);
    EXPECT_TRUE(stream->body.ends_with("data: [DONE]\n\n"));
}

// Guards against TLS connections that are cut off, responses in plain text, and callers that occupy a thread by never finishing the handshake.
TEST(hostile_input, serves_tls_callers)
{
    const temporary_file certificate("certificate");
    const temporary_file key("key");
    writeCertificate(certificate.path, key.path);
    auto server = std::make_unique<caller_server>(certificate.path, key.path, testLimits());
    ASSERT_TRUE(server->is_valid());
    EXPECT_FALSE(caller_server("/nonexistent", key.path).is_valid());
    daemon daemon(std::move(server));
    httplib::SSLClient client("127.0.0.1", daemon.http.port);
    client.set_ca_cert_path(certificate.path);
    client.enable_server_certificate_verification(true);
    client.set_keep_alive(true);
    for (int i = 0; i < 2; ++i) {
        const auto result = client.Post("/v1/completions", streamingRequestBody, "application/json");
        ASSERT_TRUE(result) << httplib::to_string(result.error());
        EXPECT_EQ(streamedText(result->body), expectedText);
    }
    const std::string large = R"({"model":"reader","prompt":")" + std::string(1U << 20U, 'x') + "\"}";
    EXPECT_EQ(client.Post("/v1/completions", large, "application/json")->status, 200);
    const raw_connection silent(daemon.http.port);
    EXPECT_EQ(silent.readToClose(), "");
    const raw_connection plain(daemon.http.port);
    plain.send("GET /healthz HTTP/1.1\r\n\r\n");
    const auto answer = plain.readToClose();
    EXPECT_TRUE(answer && answer->find("HTTP/1.1 200") == std::string::npos);
    EXPECT_TRUE(client.Get("/healthz"));
}

}
