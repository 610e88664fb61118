#pragma once

#include "protocol/control.h"
#include "transport/core_time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Deletes the claim rows of requests that this process completed, `tunables::claimRetention` after their end, when callers no longer retry
/// them. The rate of deletes is limited, because the store takes only a few hundred writes per second from all daemons together. The queue is
/// kept in memory, so rows that are still queued when the process ends are never deleted.
class claim_cleaner
{
public:
    /// Queues the row of a claimed request that has ended. Only a row with this nonce is deleted, so that a row which a later request wrote
    /// under the same key stays. Thread-safe.
    void scheduleDelete(std::string key, std::string_view nonce, instant now);
    /// Sets the number of daemons that share the store and its limit on deletes per second.
    void setDaemonCount(std::size_t count);
    /// Processes a tick or the result of an earlier effect; appends the effects to perform next.
    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// Number of queued rows. Thread-safe.
    std::size_t size() const;

private:
    struct queued_delete
    {
        std::string key;
        std::uint64_t nonceHash = 0;
        instant dueAt;
    };

    void startNextDelete(instant now, std::vector<control_effect> &out);
    void handleRowRead(const row_read_event &event, instant now, std::vector<control_effect> &out);
    void requeue(instant now);
    duration interval() const;

    mutable std::mutex m_mutex;
    std::deque<queued_delete> m_queue; ///< Ordered by due time; guarded by m_mutex.
    std::optional<queued_delete> m_current; ///< The row that is being read or deleted.
    op_id m_lastOp = 0;
    std::size_t m_daemonCount = 1;
    instant m_nextDeleteAt;
};

}
