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

/// Deletes the claim rows of requests that this process completed, once no retry by their callers is to be expected any more. Deletes are
/// spread out, since the store takes a few hundred writes a second from all daemons together. The list is kept in memory: rows of a process
/// that ended stay.
class claim_cleaner
{
public:
    /// A claimed request ended. The nonce tells its row from one that a later request wrote. Thread-safe.
    void noteEnded(std::string key, std::string_view nonce, instant now);
    /// Daemons that share the store.
    void setDaemons(std::size_t count);
    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// Rows to be deleted some time. Thread-safe.
    std::size_t size() const;

private:
    struct ended_claim
    {
        std::string key;
        std::uint64_t nonceHash = 0;
        instant dueAt;
    };

    void startNext(instant now, std::vector<control_effect> &out);
    void judge(const row_read_event &event, instant now, std::vector<control_effect> &out);
    void retry(instant now);
    duration interval() const;

    mutable std::mutex m_mutex;
    std::deque<ended_claim> m_ended; ///< In the order of their ends, guarded by the mutex.
    std::optional<ended_claim> m_current;
    op_id m_lastOp = 0;
    std::size_t m_daemons = 1;
    instant m_nextAt;
};

}
