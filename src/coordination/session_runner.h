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

/// A caller request that was checked, authenticated and routed, with what its attempts send.
struct routed_request
{
    session_request session;
    std::string method;
    std::string path; ///< For endpoints, with the query.
    httplib::Headers headers; ///< For endpoints.
    std::string body; ///< Of a service call.
    nlohmann::json fields; ///< Of a model request.
    std::string prompt;
    bool chat = false;
    bool stream = false; ///< The caller wants a stream.
};

/// Runs one request session with real I/O. `next` runs on the caller's thread; attempts run on threads of their own.
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
    /// Cancels what still runs.
    ~session_runner();
    session_runner(const session_runner &) = delete;
    session_runner &operator=(const session_runner &) = delete;

    /// Blocks until there is something for the caller. Nothing follows after the last of a finished session.
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
    void push(session_event event);
    void perform(const view_endpoints_effect &effect);
    void perform(const admit_effect &effect);
    void perform(const read_row_effect &effect);
    void perform(const commit_effect &effect);
    void perform(const start_attempt_effect &effect);
    void perform(const cancel_attempt_effect &effect);
    void perform(const keep_usage_effect &effect);
    void perform(const note_crash_effect &effect);
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
    std::optional<admit_input> m_admitted;
    instant m_lastTick;
    bool m_goneReported = false;

    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<session_event> m_events; ///< Guarded by m_mutex.
};

}
