#pragma once

#include "protocol/control.h"
#include "protocol/settings.h"
#include "state/table_store.h"
#include "transport/worker_pool.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewinglock
{

/// Performs the effects of the control state machines with real I/O. Each effect results in exactly one event.
class effect_runner
{
public:
    struct environment
    {
        table_store &store;
        socket_address platform;
        std::function<instant()> now;
        /// Returns the address of an endpoint as "IP:port", or nothing if the configuration does not contain the endpoint.
        std::function<std::optional<std::string>(const std::string &endpoint)> endpointAddress;
    };

    explicit effect_runner(environment env, int threads);

    /// Performs the effect on the worker pool and passes its event to `done` on a thread of the pool.
    void submit(control_effect effect, std::function<void(control_event)> done);

    /// Performs the effect on the calling thread and returns its event. Exceptions become failure events.
    control_event perform(const control_effect &effect);

private:
    control_event run(const read_row_effect &effect);
    control_event run(const scan_rows_effect &effect);
    control_event run(const commit_effect &effect);
    control_event run(const send_order_effect &effect);
    control_event run(const send_provision_effect &effect);
    control_event run(const send_usage_effect &effect);
    control_event run(const list_instances_effect &effect);

    environment m_environment;
    worker_pool m_pool;
};

}
