#pragma once

#include "standin/fake_server.h"
#include "standin/instance_list.h"
#include "standin/provision_desk.h"
#include "standin/usage_desk.h"
#include "state/table_store.h"

namespace lacewinglock
{

/// Settings of the fake platform.
struct platform_settings
{
    std::string host = "127.0.0.1";
    int port = 0; ///< 0 lets the system choose.
    std::chrono::milliseconds instanceLag{1000};
    bool checkEpochs = true; ///< Rejects endpoint orders below the highest epoch seen.
};

/// A fake of the platform: table service, object store, instance list, endpoint orders and usage reports. Faults (POST /faults
/// {name, value, duration_ms, count}): `store_outage`, `store_hang`, `store_slow` (ms), `answer_lost` (a commit takes effect, the
/// connection closes without an answer), `frozen_instances`, `no_endpoints` ({failure_domain, reclaimable}), `reclaim`
/// ({failure_domain, notice_ms}), `usage_answer_lost`, `endpoint` ({id, fault} passes a fault on to an endpoint, also to a crashed one).
class platform
{
public:
    platform(const platform_settings &settings, fleet &endpoints);

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
    memory_table &table()
    {
        return *m_table;
    }
    /// Sets a fault as POST /faults does; false when it names an unknown endpoint.
    bool setFault(const nlohmann::json &body);

private:
    void addTableRoutes(httplib::Server &server);
    void addObjectRoutes(httplib::Server &server);
    void addEndpointRoutes(httplib::Server &server);
    void addUsageRoutes(httplib::Server &server);
    void commit(const nlohmann::json &body, httplib::Response &response);
    bool storeWorks(httplib::Response &response);
    httplib::Server::Handler guarded(httplib::Server::Handler handler);

    fleet &m_fleet;
    std::shared_ptr<memory_table> m_table = std::make_shared<memory_table>();
    instance_list m_instances;
    provision_desk m_provision;
    usage_desk m_usage;
    fault_board m_faults;
    std::mutex m_objectMutex;
    std::map<std::string, std::string> m_objects;
    fake_server m_server; // Last, so that its threads end before the rest is destroyed.
};

}
