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

/// Performs the effects of the control machines with real I/O and answers each with exactly one event.
class effect_runner
{
public:
    struct environment
    {
        table_store &store;
        socket_address platform;
        std::function<instant()> now;
        /// Address of an endpoint, IP:port, or nothing when the configuration does not have it.
        std::function<std::optional<std::string>(const std::string &endpoint)> addressOf;
    };

    explicit effect_runner(environment around, int threads);

    /// Performs the effect on the pool. `done` runs on a thread of the pool.
    void submit(control_effect effect, std::function<void(control_event)> done);

    /// Performs the effect on the calling thread.
    control_event perform(const control_effect &effect);

private:
    control_event run(const read_row_effect &effect);
    control_event run(const scan_rows_effect &effect);
    control_event run(const commit_effect &effect);
    control_event run(const send_order_effect &effect);
    control_event run(const send_provision_effect &effect);
    control_event run(const send_usage_effect &effect);
    control_event run(const list_instances_effect &effect);

    environment m_around;
    worker_pool m_pool;
};

}
