#include "front_fixture.h"
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

constexpr const char *secret = "secretkey1"; // Of the fixture's key.
constexpr const char *keyText = "lw_k1_secretkey1";
constexpr const char *promptMark = "PROMPTMARK";
constexpr auto headerLimit = 400ms;
constexpr auto bodyLimit = 800ms;

caller_limits testLimits()
{
    return {.headerTime = headerLimit, .bodyTime = bodyLimit, .headerBytes = 16U << 10U};
}

/// A plain connection that sends what it is told to.
class raw_connection
{
public:
    explicit raw_connection(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval patience{.tv_sec = 6}; // An idle connection stays open for the 5 s of CPPHTTPLIB_KEEPALIVE_TIMEOUT_SECOND.
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
        const sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(port)), .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }
    ~raw_connection()
    {
        ::close(m_socket);
    }
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    /// False once the other side has closed.
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
    /// Everything up to the close of the connection, or nothing when it stays open.
    std::optional<std::string> readToClose() const
    {
        std::string all;
        std::array<char, 4096> part{};
        while (true) {
            const auto got = ::recv(m_socket, part.data(), part.size(), 0);
            if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                return std::nullopt;
            }
            if (got <= 0) {
                return all;
            }
            all.append(part.data(), static_cast<std::size_t>(got));
        }
    }

private:
    int m_socket;
};

std::string post(const std::string &path, const std::string &body, const std::string &headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + headers + "\r\n" + body;
}

/// Clear 4xx answers, or no answer at all on a closed connection.
bool isRefused(const std::optional<std::string> &answer)
{
    return answer && (answer->empty() || answer->starts_with("HTTP/1.1 4"));
}

/// Keeps all log lines of this process while it exists.
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

/// A file name that is removed at the end of the test.
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
    const auto result = daemon.client().Post("/v1/completions", streamBody, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(textOf(result->body), wholeText);
}

}

// Guards against a caller that holds a thread for as long as it likes by sending a header byte now and then.
TEST(hostile_input, bounds_the_whole_time_of_the_headers)
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

// Guards against headers without end, which would fill the memory.
TEST(hostile_input, bounds_the_size_of_all_headers)
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

// Guards against a request that waits without end for the rest of its body.
TEST(hostile_input, bounds_the_time_of_the_body)
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

// Guards against bytes after a request being taken as a part of it or stopping the daemon.
TEST(hostile_input, answers_a_request_and_refuses_the_garbage_after_it)
{
    daemon daemon;
    const raw_connection pipelined(daemon.http.port);
    pipelined.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n\x01\x02garbage\xff\r\n\r\n");
    const auto answer = pipelined.readToClose();
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->starts_with("HTTP/1.1 200")) << *answer;
    EXPECT_EQ(answer->find("HTTP/1.1 200", 1), std::string::npos);
    const raw_connection both(daemon.http.port);
    both.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(isRefused(both.readToClose()));
    expectServing(daemon);
}

// Guards against keys and prompt text in anything that is kept or passed on, for good and bad requests, and against bad ones that are served.
TEST(hostile_input, leaks_no_key_and_no_prompt)
{
    const std::string mark = promptMark;
    const std::string good = R"({"model":"keyed-reader","prompt":")" + mark + R"("})";
    const std::string authorised = std::string("Authorization: Bearer ") + keyText + "\r\n";
    const std::vector<std::string> bad = {
        post("/v1/completions?key=" + std::string(keyText), good),
        post("/v1/completions?note=" + std::string(keyText), good, authorised),
        post("/v1/completions", R"({"model":"reader","prompt":")" + mark + R"(","api_key":")" + keyText + "\"}"),
        post("/v1/completions", R"({"model":"reader","prompt":")" + mark + ' ' + keyText + "\"}"),
        post("/v1/completions", R"({"model":"reader","prompt":"x"})", std::string("Cookie: session=") + keyText + "\r\n"),
        post("/v1/completions", R"({"model":"reader","prompt":"x"})", std::string("X-Key: ") + keyText + "\r\n"),
        post("/v1/completions", good, std::string("Authorization: Bearer ") + keyText + "x\r\n"),
        post("/v1/completions", good, std::string("Authorization: Basic ") + keyText + "\r\n"),
        post("/v1/completions", good, authorised + authorised),
        post("/v1/completions", good),
        post("/bookings/" + std::string(keyText), mark),
        post("/v1/completions", R"({"model":"reader","prompt":")" + mark + "\xff\xfe\"}"),
        post("/v1/completions", R"({"model":"reader","prompt":")" + mark),
        post("/v1/completions", R"({"model":"reader","prompt":")" + mark + R"(","x":)" + std::string(100000, '[')),
        post("/v1/completions", R"({"model":")" + mark + R"(","prompt":"x"})"),
        post("/v1/completions", mark + std::string(tunables::maxBodyBytes, 'x')),
        post("/" + mark, "x"),
    };
    const temporary_file decisions("decisions");
    log_capture log;
    std::string refusals;
    std::string forwarded;
    {
        daemon daemon(std::make_unique<caller_server>(testLimits()), decisions.path);
        for (const auto &text : bad) {
            const raw_connection caller(daemon.http.port);
            caller.send(text);
            const auto answer = caller.readToClose();
            EXPECT_TRUE(isRefused(answer)) << text.substr(0, 200) << " -> " << answer.value_or("open").substr(0, 200);
            refusals += answer.value_or("");
        }
        EXPECT_EQ(daemon.engineCalls(), 0);
        daemon.engines[0].breakAfter = 2;
        const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + keyText}, {"X-Trace", "1"}, {"Cookie", "a=b"}};
        const auto served = daemon.client().Post("/v1/completions", headers, good, "application/json");
        EXPECT_TRUE(served && served->status == 200);
        daemon.client().Post("/bookings", headers, mark, "text/plain");
        daemon.engines[0].http.server.stop();
        daemon.engines[1].http.server.stop();
        // Kept connections are used for 1 s; one that closes during the call counts as a crash, and the request would wait as a suspect.
        std::this_thread::sleep_for(std::chrono::milliseconds(1100));
        const auto failed = daemon.client().Post("/v1/completions", headers, good, "application/json");
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
        EXPECT_EQ(text.find(promptMark), std::string::npos) << text.substr(text.find(promptMark) > 200 ? text.find(promptMark) - 200 : 0, 400);
    }
}

// Guards against chat answers in the wrong form, whole and streamed.
TEST(hostile_input, serves_chat_completions_end_to_end)
{
    daemon daemon;
    const std::string messages = R"("model":"reader","messages":[{"role":"user","content":"hello"}])";
    const auto whole = daemon.client().Post("/v1/chat/completions", "{" + messages + "}", "application/json");
    ASSERT_TRUE(whole);
    const auto body = nlohmann::json::parse(whole->body);
    EXPECT_EQ(body["object"], "chat.completion");
    EXPECT_EQ(body["choices"][0]["message"]["role"], "assistant");
    EXPECT_EQ(body["choices"][0]["message"]["content"], wholeText);
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
    EXPECT_EQ(text, wholeText);
    EXPECT_TRUE(stream->body.ends_with("data: [DONE]\n\n"));
}

// Guards against TLS callers that are cut off, answered in plain text or able to hold a thread by never finishing the handshake.
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
        const auto result = client.Post("/v1/completions", streamBody, "application/json");
        ASSERT_TRUE(result) << httplib::to_string(result.error());
        EXPECT_EQ(textOf(result->body), wholeText);
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
