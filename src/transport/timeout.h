#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewinglock
{

/// Calls an action once when a time has passed on the steady clock.
///
/// A cancelled or replaced action is never called. With a bare asio timer it may be: cancelling does not reach a handler that is already queued,
/// which is usual after the process did not run for a while.
class timeout
{
public:
    explicit timeout(asio::io_context &loop);
    ~timeout();
    timeout(const timeout &) = delete;
    timeout &operator=(const timeout &) = delete;

    /// Replaces the pending action, if any.
    void start(duration time, std::function<void()> action);
    void cancel();

private:
    asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_starts; ///< Starts and cancellations; the handler of an earlier start finds another number.
};

}
