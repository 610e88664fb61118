#pragma once

#include "standin/engine_batch.h"
#include "standin/fake_server.h"
#include "standin/load_history.h"
#include "standin/order_book.h"

namespace lacewinglock
{

/// Settings of one fake engine.
struct engine_settings
{
    std::string id;
    std::string host = "127.0.0.1";
    int port = 0; ///< 0 lets the system choose.
    std::string role = "mixed";
    std::string model;
    bool checksFencing = true;
    engine_rates rates;
    std::chrono::milliseconds loadLag{300};
    std::chrono::milliseconds cacheEventLag{500};
    std::chrono::milliseconds changeTime{2000};
};

engine_settings parseEngineSettings(const nlohmann::json &value);

/// One attempt as the engine sees it.
struct engine_attempt
{
    std::string id; ///< As echoed, which a fault can make wrong.
    bool chat = false;
    bool stream = false;
    std::string prompt;
    std::uint64_t first = 0; ///< Index of the first token to send.
    std::uint64_t total = 0; ///< Length of the whole output.
    std::uint64_t changes = 0; ///< Role changes of the engine when the attempt began.
    std::optional<std::uint64_t> cutAt; ///< Token index at which a fault ends the stream.
    std::optional<std::uint64_t> malformedAt;
    double cachedTokens = 0;
    batch_request batch;
};

/// A fake model engine with continuous batching, a prefix cache and injectable faults. Faults (POST /faults): `poison` (marker text),
/// `crash`, `wrong_attempt_id`, `delayed_attempt_id`, `truncated_stream` (tokens sent before the cut), `malformed_chunk` (token index),
/// `ignore_fencing`, `load_lag` (ms), `cache_gap` (each Nth event is lost), `slow` (factor), `stall`, `leaving`.
class engine
{
public:
    explicit engine(engine_settings settings);

    bool start()
    {
        return m_server.start();
    }
    void stop()
    {
        m_server.stop();
    }
    fake_server &server()
    {
        return m_server;
    }
    const engine_settings &settings() const
    {
        return m_settings;
    }
    void setFault(const nlohmann::json &body);
    /// Shows `leaving` in load reports from now on.
    void announceLeaving();
    nlohmann::json orders() const;

private:
    void addRoutes(httplib::Server &server);
    void complete(bool chat, const nlohmann::json &body, const httplib::Request &request, httplib::Response &response);
    bool refuse(const engine_attempt &attempt, httplib::Response &response);
    engine_attempt parseAttempt(bool chat, const nlohmann::json &body, const httplib::Request &request);
    std::string echoedId(const std::string &id);
    void answerWhole(const engine_attempt &attempt, httplib::Response &response);
    void answerStream(engine_attempt attempt, httplib::Response &response);
    bool decode(const engine_attempt &attempt, const std::function<bool(std::uint64_t)> &emit);
    bool writeToken(const engine_attempt &attempt, std::uint64_t index, httplib::DataSink &sink) const;
    void recordLoad();
    nlohmann::json load();
    nlohmann::json cacheEvents(std::uint64_t since);

    engine_settings m_settings;
    engine_batch m_batch;
    order_book m_orders;
    load_history m_history;
    fault_board m_faults;
    std::atomic<bool> m_leaving = false;
    std::atomic<int> m_cutByChange = 0;
    std::atomic<int> m_requestsWhileLeaving = 0;
    std::mutex m_idMutex;
    std::string m_lastId;
    fake_server m_server; // Last, so that its threads end before the rest is destroyed.
};

}
