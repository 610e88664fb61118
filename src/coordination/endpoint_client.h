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

/// One call of an endpoint.
struct endpoint_call
{
    std::string address; ///< IP:port.
    std::string attemptId;
    std::string method = "POST";
    std::string path; ///< With the query.
    httplib::Headers headers; ///< Already free of keys and hop-by-hop headers.
    std::string body;
    bool chat = false; ///< Chunks carry `delta.content` instead of `text`.
    bool freshConnection = false; ///< For requests that may not be repeated: a kept connection may be closed by the endpoint at any time.
    duration timeLeft{}; ///< Until the request's deadline.
};

/// Cancels a running call from another thread. Cancelling closes the connection; it may be repeated.
class call_control
{
public:
    void cancel();
    bool cancelled() const;

private:
    friend class endpoint_client;

    void attach(std::shared_ptr<httplib::Client> connection);
    void detach();

    std::atomic<bool> m_cancelled = false;
    std::mutex m_mutex;
    std::shared_ptr<httplib::Client> m_connection;
};

/// Parses the event stream of an engine and checks each chunk against the attempt.
class stream_parser
{
public:
    using event_function = std::function<void(session_event)>;

    stream_parser(std::string attemptId, bool chat, event_function emit);

    /// Takes bytes of the body; returns false when the stream is malformed or belongs to another attempt.
    bool feed(std::string_view bytes);
    /// The stream ended with a finish reason, usage and the end mark.
    bool complete() const;
    const std::string &problem() const;
    /// The closing event, sent once the connection has ended cleanly.
    stream_finished_event finish() const;

private:
    bool takeLine(std::string_view line);
    bool takeChunk(std::string_view text);
    bool takeFinish(const nlohmann::json &chunk, const nlohmann::json &choice);
    bool fail(std::string problem);

    event_function m_emit;
    bool m_chat;
    std::string m_rest; ///< Bytes of an unfinished line.
    std::string m_problem;
    stream_finished_event m_finish;
    bool m_finished = false;
    bool m_ended = false;
};

/// Calls endpoints over HTTP. Thread-safe; each call blocks its thread and emits session events, the last of which ends the attempt.
class endpoint_client
{
public:
    using event_function = std::function<void(session_event)>;

    void streamCompletion(const endpoint_call &call, call_control &control, const event_function &emit);
    void callService(const endpoint_call &call, call_control &control, const event_function &emit);

private:
    using connection = std::shared_ptr<httplib::Client>;

    connection acquire(const endpoint_call &call);
    /// Keeps a connection whose last answer ended cleanly.
    void release(const std::string &address, connection kept);

    std::mutex m_mutex;
    struct idle_connection
    {
        connection link;
        std::chrono::steady_clock::time_point since;
    };

    std::map<std::string, std::vector<idle_connection>, std::less<>> m_idle;
};

}
