#pragma once

#include "standin/fake_server.h"
#include "standin/instance_list.h"
#include "standin/provision_service.h"
#include "standin/usage_sink.h"
#include "state/table_store.h"

namespace lacewinglock
{

/// Settings of the fake platform.
struct platform_settings
{
    std::string host = "127.0.0.1";
    int port = 0; ///< With 0 the operating system assigns a free port.
    std::chrono::milliseconds instanceLag{1000}; ///< Delay before GET /instances shows a change.
    bool checkEpochs = true; ///< Whether endpoint orders with an epoch below the highest one seen are rejected.
};

/// A fake platform: table service, object store, instance list, endpoint orders and usage reports.
/// Faults (POST /faults {name, value, duration_ms, count}): `store_outage`, `store_hang`, `store_slow` (ms), `answer_lost` (a commit takes
/// effect, but the connection closes without a response), `frozen_instances`, `no_endpoints` ({failure_domain, reclaimable}: orders that match
/// get no endpoints), `reclaim` ({failure_domain, notice_ms}), `usage_answer_lost`, `endpoint` ({id, fault}: sets the fault of an endpoint,
/// which may have crashed).
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
    /// Sets a fault as POST /faults does. Returns false when it names an unknown endpoint; throws a nlohmann::json::exception when the body
    /// is invalid.
    bool setFault(const nlohmann::json &body);

private:
    void addTableRoutes(httplib::Server &server);
    void addObjectRoutes(httplib::Server &server);
    void addEndpointRoutes(httplib::Server &server);
    void addUsageRoutes(httplib::Server &server);
    void commit(const nlohmann::json &body, httplib::Response &response);
    bool applyStoreFaults(httplib::Response &response);
    httplib::Server::Handler withStoreFaults(httplib::Server::Handler handler);

    fleet &m_fleet;
    std::shared_ptr<memory_table> m_table = std::make_shared<memory_table>();
    instance_list m_instances;
    provision_service m_provisioning;
    usage_sink m_usageSink;
    fault_registry m_faults;
    std::mutex m_objectMutex;
    std::map<std::string, std::string> m_objects;
    fake_server m_server; // Declared last: its threads must end before the members that they use are destroyed.
};

}
