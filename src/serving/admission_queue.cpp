#include "serving/admission_queue.h"

#include <tuple>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxWaiting = 128; // Each wait lasts 400 ms at most, and a daemon serves a few hundred requests a second.
constexpr std::size_t maxWaitingBytes = 8U << 20U; // Their bodies stay in memory; two of the largest allowed size.
constexpr auto roundInterval = std::chrono::milliseconds(15); // The loads of the other daemons change about as often.
constexpr auto turnTimeout = std::chrono::milliseconds(45); // For a request that was not given its turn, because the one before it has left.

}

bool admission_queue::before::operator()(const queue_place *left, const queue_place *right) const
{
    return std::tie(left->m_rank, left->m_number) < std::tie(right->m_rank, right->m_number);
}

bool admission_queue::hasRoom(std::size_t bytes) const
{
    return m_places.size() < maxWaiting && m_bytes + bytes <= maxWaitingBytes;
}

std::size_t admission_queue::size() const
{
    return m_places.size();
}

queue_place::queue_place(admission_queue &queue, asio::io_context &loop, admission_rank rank, std::size_t bytes)
    : m_queue(queue)
    , m_rank(rank)
    , m_number(++queue.m_lastNumber)
    , m_bytes(bytes)
    , m_timer(loop)
{
    m_queue.m_places.insert(this);
    m_queue.m_bytes += bytes;
}

queue_place::~queue_place()
{
    passOn();
    m_queue.m_places.erase(this);
    m_queue.m_bytes -= m_bytes;
}

task<void> queue_place::nextTurn()
{
    const bool first = *m_queue.m_places.begin() == this;
    m_timer.expires_after(first ? roundInterval : turnTimeout);
    boost::system::error_code ignored; // Cancelled when the turn comes earlier.
    co_await m_timer.async_wait(errorTo(ignored));
}

void queue_place::passOn()
{
    if (const auto next = m_queue.m_places.upper_bound(this); next != m_queue.m_places.end()) {
        (*next)->wake();
    }
}

void queue_place::wake()
{
    m_timer.cancel();
}

}
