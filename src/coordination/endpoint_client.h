#pragma once

#include "coordination/request_session.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// One HTTP call to an endpoint.
struct endpoint_call
{
    std::string address; ///< "IP:port".
    std::string attemptId;
    std::string method = "POST";
    std::string path; ///< Includes the query string.
    httplib::Headers headers; ///< Without credentials and hop-by-hop headers.
    std::string body;
    bool chat = false; ///< Stream chunks carry `delta.content` instead of `text`.
    bool useNewConnection = false; ///< For non-repeatable requests, because the endpoint may close an idle connection at any time.
    duration remainingTime{}; ///< Time until the request's deadline.
};

/// Cancels a running call from another thread by closing its connection. Cancelling more than once is allowed.
class call_control
{
public:
    void cancel();
    bool cancelled() const;

private:
    friend class endpoint_client;

    void attach(std::shared_ptr<httplib::Client> client);
    void detach();

    std::atomic<bool> m_cancelled = false;
    std::mutex m_mutex;
    std::shared_ptr<httplib::Client> m_connection;
};

/// Parses the server-sent event stream of an engine and checks that each chunk belongs to the attempt.
class stream_parser
{
public:
    using event_function = std::function<void(session_event)>;

    stream_parser(std::string attemptId, bool chat, event_function emit);

    /// Parses further bytes of the body and emits their tokens. Returns false if the stream is malformed or belongs to another attempt;
    /// problem() then holds the cause.
    bool feed(std::string_view bytes);
    /// True once a finish reason with usage figures and the end mark [DONE] were received.
    bool complete() const;
    /// Cause of the failure; empty while the stream is valid.
    const std::string &problem() const;
    /// The final event of a complete stream, to be emitted after the response has ended without an error.
    stream_finished_event finish() const;

private:
    bool parseLine(std::string_view line);
    bool parseChunk(std::string_view text);
    bool parseFinish(const nlohmann::json &chunk, const nlohmann::json &choice);
    bool fail(std::string problem);

    event_function m_emit;
    bool m_chat;
    std::string m_partialLine; ///< Bytes of an incomplete line.
    std::string m_problem;
    stream_finished_event m_finish;
    bool m_finishReasonSeen = false;
    bool m_doneMarkSeen = false;
};

/// Calls endpoints over HTTP and pools idle connections. Thread-safe. Each call blocks its thread and emits session events; the last event
/// ends the attempt.
class endpoint_client
{
public:
    using event_function = std::function<void(session_event)>;

    /// Streams a completion: emits a token_event per chunk, then a stream_finished_event or an attempt_failed_event.
    void streamCompletion(const endpoint_call &call, call_control &control, const event_function &emit);
    /// Calls a plain service: emits one service_answer_event or attempt_failed_event.
    void callService(const endpoint_call &call, call_control &control, const event_function &emit);

private:
    using client_ptr = std::shared_ptr<httplib::Client>;

    /// Takes an idle connection from the pool or creates one.
    client_ptr acquire(const endpoint_call &call);
    /// Returns a connection to the pool after a response that ended without an error.
    void release(const std::string &address, client_ptr client);

    std::mutex m_mutex;
    struct idle_connection
    {
        client_ptr client;
        std::chrono::steady_clock::time_point idleSince;
    };

    std::map<std::string, std::vector<idle_connection>, std::less<>> m_idle;
};

}
