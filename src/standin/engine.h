#pragma once

#include "standin/engine_batch.h"
#include "standin/fake_server.h"
#include "standin/load_history.h"
#include "standin/order_log.h"

namespace lacewinglock
{

/// Settings of one fake model engine, as the topology file gives them.
struct engine_settings
{
    std::string id;
    std::string host = "127.0.0.1";
    int port = 0; ///< With 0 the operating system assigns a free port.
    std::string role = "mixed"; ///< "prefill", "decode" or "mixed".
    std::string model;
    bool checksFencing = true; ///< Whether orders with an outdated fencing token or revision are rejected.
    engine_rates rates;
    std::chrono::milliseconds loadLag{300}; ///< Age of the load that GET /load reports.
    std::chrono::milliseconds cacheEventLag{500}; ///< Delay before GET /cache-events lists a cache event.
    std::chrono::milliseconds roleChangeTime{2000}; ///< Duration of a role or model change, during which requests get 503.
};

/// Parses an endpoint of the topology. Missing fields keep their defaults; a field of the wrong type throws a nlohmann::json::exception.
engine_settings parseEngineSettings(const nlohmann::json &value);

/// Parsed completion request of one attempt, with the faults that apply to its response.
struct engine_attempt
{
    std::string id; ///< Attempt id that the response echoes; differs from the id of the request under `wrong_attempt_id` or `delayed_attempt_id`.
    bool chat = false;
    bool stream = false;
    std::string prompt;
    std::uint64_t firstIndex = 0; ///< Index of the first output token to send; above 0 for a resumed attempt.
    std::uint64_t totalTokens = 0; ///< Length of the complete output, including the tokens before `firstIndex`.
    std::uint64_t changesAtStart = 0; ///< Number of role and model changes when the attempt arrived; a later change aborts the attempt.
    std::optional<std::uint64_t> truncateAt; ///< Index of the first token that the fault `truncated_stream` withholds; the connection closes there.
    std::optional<std::uint64_t> malformedAt; ///< Index of the token whose chunk is invalid JSON because of the fault `malformed_chunk`.
    double cachedTokens = 0;
    batch_request batch;
};

/// A fake model engine with continuous batching, a prefix cache and fault injection.
/// Faults (POST /faults): `poison` (a prompt that contains this text crashes the engine), `crash` (for `duration_ms`), `revive` (ends a
/// crash), `wrong_attempt_id`, `delayed_attempt_id` (echoes the id of the previous attempt), `truncated_stream` (number of tokens sent before
/// the connection closes), `malformed_chunk` (token index), `ignore_fencing`, `load_lag` (ms), `cache_gap` (each Nth event is lost),
/// `slow` (factor on the decode step time), `stall` (no response while it lasts), `leaving` (drain notice in load reports).
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
    /// Sets or clears the fault in the body of POST /faults; throws a nlohmann::json::exception when the body is invalid.
    void setFault(const nlohmann::json &body);
    /// Sets `leaving` in all following load reports.
    void announceLeaving();
    /// Received orders, conflicts, attempts aborted by role changes, and requests received while `leaving` was set.
    nlohmann::json orders() const;

private:
    void addRoutes(httplib::Server &server);
    void complete(bool chat, const nlohmann::json &body, const httplib::Request &request, httplib::Response &response);
    bool rejectBeforeStart(const engine_attempt &attempt, httplib::Response &response);
    engine_attempt parseAttempt(bool chat, const nlohmann::json &body, const httplib::Request &request);
    std::string attemptIdToEcho(const std::string &id);
    void sendCompletion(const engine_attempt &attempt, httplib::Response &response);
    void streamCompletion(engine_attempt attempt, httplib::Response &response);
    bool decode(const engine_attempt &attempt, const std::function<bool(std::uint64_t)> &emit);
    bool writeToken(const engine_attempt &attempt, std::uint64_t index, httplib::DataSink &sink) const;
    void recordLoad();
    nlohmann::json load();
    nlohmann::json cacheEvents(std::uint64_t since);

    engine_settings m_settings;
    engine_batch m_batch;
    order_log m_orders;
    load_history m_loadHistory;
    fault_registry m_faults;
    std::atomic<bool> m_leaving = false;
    std::atomic<int> m_abortedByRoleChange = 0;
    std::atomic<int> m_requestsWhileLeaving = 0;
    std::mutex m_previousIdMutex;
    std::string m_previousId;
    fake_server m_server; // Declared last: its threads must end before the members that they use are destroyed.
};

}
