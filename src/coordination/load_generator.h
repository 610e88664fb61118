#pragma once

#include "coordination/address_book.h"
#include "coordination/answer_check.h"
#include "coordination/load_plan.h"

#include <atomic>
#include <optional>

namespace lacewinglock
{

/// What became of one call.
struct call_result
{
    bool sent = false;
    bool late = false; ///< All workers were busy when it was due, so the load was not open-loop at that moment.
    int connections = 0; ///< More than one after a failed connection.
    std::optional<answer_verdict> verdict; ///< Nothing when refused or lost.
    std::string runState; ///< Of a refusal; "unstated" when it lacks one.
    std::string refusalCode;
    bool lost = false; ///< No answer on any connection that the caller may use.
    double firstTokenMs = 0;
    std::vector<float> gapsMs;
};

/// Sends a plan at its times, whatever the answers are, and checks every answer.
class load_generator
{
public:
    explicit load_generator(load_settings settings);

    /// Blocks until the last answer has come or is given up.
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
    enum class attempt_end {
        Answered,
        NotConnected,
        Broken ///< The connection failed after the request was written.
    };

    void work(std::chrono::steady_clock::time_point start);
    void perform(const planned_call &call, call_result &result);
    attempt_end attempt(const planned_call &call, const std::string &address, std::chrono::steady_clock::time_point began, call_result &result);

    load_settings m_settings;
    std::vector<planned_call> m_plan;
    std::vector<call_result> m_results;
    address_book m_addresses;
    std::atomic<std::size_t> m_next = 0;
};

}
