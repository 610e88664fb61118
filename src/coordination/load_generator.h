#pragma once

#include "coordination/address_cache.h"
#include "coordination/answer_checker.h"
#include "coordination/load_plan.h"

#include <atomic>
#include <optional>

namespace lacewinglock
{

/// Outcome of one call.
struct call_result
{
    bool sent = false;
    bool late = false; ///< All workers were busy at the planned time, so the load was not open-loop at that moment.
    int connections = 0; ///< Connections tried; more than one after a failed connection.
    std::optional<answer_verdict> verdict; ///< Verdict on the response; empty when the call was refused or lost.
    std::string runState; ///< Run state of a refusal; "unstated" when the refusal has none.
    std::string refusalCode;
    bool lost = false; ///< No response on any connection that was tried.
    double firstTokenMs = 0;
    std::vector<float> gapsMs;
};

/// Sends the calls of a plan at their planned times (open loop) and checks every response.
class load_generator
{
public:
    explicit load_generator(load_settings settings);

    /// Sends all calls. Blocks until each is answered, refused or lost.
    std::vector<call_result> run();

    const load_settings &settings() const
    {
        return m_settings;
    }
    const std::vector<planned_call> &plan() const
    {
        return m_plan;
    }

private:
    enum class attempt_outcome {
        Answered,
        NotConnected,
        ConnectionLost ///< The connection was established and failed before the response was complete.
    };

    void runWorker(std::chrono::steady_clock::time_point start);
    void perform(const planned_call &call, call_result &result);
    attempt_outcome attempt(const planned_call &call, const std::string &address, std::chrono::steady_clock::time_point startTime, call_result &result);

    load_settings m_settings;
    std::vector<planned_call> m_plan;
    std::vector<call_result> m_results;
    address_cache m_addresses;
    std::atomic<std::size_t> m_next = 0;
};

}
