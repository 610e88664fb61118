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
    int port = 0; ///< 0 lets the system choose.
};

/// A fake plain service. Bookings and orders count executions by the `idempotency_id` in the body, so that a test can see a call that
/// ran twice or ran although the caller was told that it had not. Faults: `slow` (ms), `answer_lost` (after execution), `crash`.
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
    void setFault(const nlohmann::json &body);
    /// Number of executions by idempotency id.
    nlohmann::json executions() const;

private:
    void addRoutes(httplib::Server &server);
    void execute(const nlohmann::json &body, httplib::Response &response);
    bool delay();

    service_settings m_settings;
    fault_board m_faults;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_leaving = false;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_executions;
    int m_lastConfirmation = 0;
    fake_server m_server; // Last, so that its threads end before the rest is destroyed.
};

}
