#pragma once

#include "transport/asio.h"
#include "transport/core_time.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace lacewinglock
{

/// Place of a request in the order of the queue.
struct admission_rank
{
    int priority = 5;
    bool beyondShare = false; ///< Its organisation has more than its fair share.
    instant deadline;

    auto operator<=>(const admission_rank &) const = default;
};

class queue_place;

/// The requests that wait at this daemon for their admission. Bounded in number and bytes.
///
/// They look at the endpoints one after the other, in the order of their ranks, so that the first one takes what has become free.
class admission_queue
{
public:
    /// Whether a request with a body of this size may wait.
    bool hasRoom(std::size_t bytes) const;
    std::size_t size() const;

private:
    friend class queue_place;
    struct before
    {
        bool operator()(const queue_place *left, const queue_place *right) const;
    };

    std::set<queue_place *, before> m_places;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastNumber = 0;
};

/// One request's place in the queue, from its construction to its destruction.
class queue_place
{
public:
    queue_place(admission_queue &queue, asio::io_context &loop, admission_rank rank, std::size_t bytes);
    ~queue_place();
    queue_place(const queue_place &) = delete;
    queue_place &operator=(const queue_place &) = delete;

    /// Waits for the request's next turn. Call passOn() after each turn that leaves the request in the queue.
    task<void> nextTurn();
    /// Gives the turn to the next request in the order.
    void passOn();
    /// Ends nextTurn() at once.
    void wake();

private:
    friend struct admission_queue::before;

    admission_queue &m_queue;
    admission_rank m_rank;
    std::uint64_t m_number;
    std::size_t m_bytes;
    asio::steady_timer m_timer;
};

}
