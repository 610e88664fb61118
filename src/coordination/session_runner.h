#pragma once

#include "coordination/admission_gate.h"
#include "coordination/commit_batcher.h"
#include "coordination/endpoint_client.h"
#include "coordination/request_session.h"
#include "coordination/serving_context.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace lacewinglock
{

/// A validated and authenticated caller request with its route and the content that its attempts send.
struct routed_request
{
    session_request session;
    std::string method;
    std::string path; ///< Path at the endpoint, including the query string.
    httplib::Headers headers; ///< Headers sent to the endpoint.
    std::string body; ///< Body of a service call.
    nlohmann::json fields; ///< JSON body of a model request.
    std::string prompt;
    bool chat = false;
    bool stream = false; ///< The caller requested a streamed response.
};

/// Runs one request session with real I/O. `next` runs on the thread of the caller's request; each attempt runs on its own thread.
class session_runner
{
public:
    using output = std::variant<deliver_token_effect, finish_effect, deliver_answer_effect, refuse_effect, abandon_effect>;

    session_runner(const serving_context &context,
                   admission_gate &gate,
                   endpoint_client &client,
                   commit_batcher &commits,
                   routed_request request,
                   std::function<bool()> callerGone);
    /// Completes the session without its caller if it has not finished, cancels running attempts and joins their threads.
    ~session_runner();
    session_runner(const session_runner &) = delete;
    session_runner &operator=(const session_runner &) = delete;

    /// Blocks until the session has an output for the caller. After the last output of a finished session it returns abandon_effect.
    output next();

private:
    struct attempt
    {
        std::string id;
        call_control control;
        std::atomic<bool> done = false;
        std::thread thread;
    };

    void advance();
    void step(const session_event &event);
    std::optional<session_event> waitForEvent();
    void pushEvent(session_event event);
    void perform(const view_endpoints_effect &effect);
    void perform(const admit_effect &effect);
    void perform(const read_row_effect &effect);
    void perform(const commit_effect &effect);
    void perform(const start_attempt_effect &effect);
    void perform(const cancel_attempt_effect &effect);
    void perform(const record_usage_effect &effect);
    void perform(const record_crash_effect &effect);
    void perform(const clear_suspect_effect &effect);
    void perform(const claim_ended_effect &effect);
    void perform(const record_decision_effect &effect);
    template <typename Output>
    void perform(const Output &effect);
    endpoint_call makeCall(const start_attempt_effect &effect) const;
    void runAttempt(attempt &running, const endpoint_call &call, const std::string &endpointId);
    double freeGroupTokens() const;
    void recordAdmission(const admit_input &input, const admit_result &result);

    const serving_context &m_context;
    admission_gate &m_gate;
    endpoint_client &m_client;
    commit_batcher &m_commits;
    routed_request m_request;
    std::function<bool()> m_callerGone;
    std::vector<std::uint64_t> m_promptBlocks;
    request_session m_session;
    std::deque<output> m_outputs;
    std::list<attempt> m_attempts;
    std::optional<admit_input> m_admittedInput;
    instant m_lastTickAt;
    bool m_callerGoneReported = false;

    std::mutex m_mutex;
    std::condition_variable m_eventAvailable;
    std::deque<session_event> m_events; ///< Guarded by m_mutex.
};

}
