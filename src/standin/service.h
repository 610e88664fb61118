#pragma once

#include "standin/fake_server.h"

#include <map>

namespace lacewinglock
{

/// Settings of one fake plain service.
struct service_settings
{
    std::string id;
    std::string host = "127.0.0.1";
    int port = 0; ///< With 0 the operating system assigns a free port.
};

/// A fake plain service. It counts the executions of bookings and orders by the `idempotency_id` in the body, so that a test detects a call that
/// ran twice, or ran although the response to the caller said that it had not.
/// Faults: `slow` (ms), `answer_lost` (the response is lost after the execution), `crash`, `revive`, `leaving`.
class plain_service
{
public:
    explicit plain_service(service_settings settings);

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
    const service_settings &settings() const
    {
        return m_settings;
    }
    /// Sets or clears the fault in the body of POST /faults; throws a nlohmann::json::exception when the body is invalid.
    void setFault(const nlohmann::json &body);
    /// Returns the number of executions by idempotency id.
    nlohmann::json executions() const;

private:
    void addRoutes(httplib::Server &server);
    void execute(const nlohmann::json &body, httplib::Response &response);
    bool applySlowFault();

    service_settings m_settings;
    fault_registry m_faults;
    std::atomic<int> m_runningCalls = 0;
    std::atomic<bool> m_leaving = false;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_executions;
    int m_lastConfirmation = 0;
    fake_server m_server; // Declared last: its threads must end before the members that they use are destroyed.
};

}
