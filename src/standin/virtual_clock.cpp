#include "standin/virtual_clock.h"

#include <cstdio>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxTraceLines = 80;
constexpr std::uint64_t chanceResolution = 1'000'000;

}

virtual_clock::virtual_clock(std::uint64_t seed)
    : m_generator(seed)
{
}

bool virtual_clock::later_event::operator()(const scheduled_event &left, const scheduled_event &right) const
{
    return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
}

instant virtual_clock::now() const
{
    return m_now;
}

void virtual_clock::after(duration delay, std::string label, std::function<void()> action)
{
    m_queue.push({.at = m_now + delay, .sequence = ++m_sequence, .label = std::move(label), .action = std::move(action)});
}

void virtual_clock::runUntil(instant end)
{
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const scheduled_event next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        ++m_events;
        updateHash(next.label);
        next.action();
    }
    m_now = end;
}

// std::uniform_int_distribution gives different results in different standard libraries, so runs would not be reproducible with it.
std::uint64_t virtual_clock::random(std::uint64_t bound)
{
    return bound == 0 ? 0 : m_generator() % bound;
}

duration virtual_clock::randomBetween(duration low, duration high)
{
    return low + duration(random(static_cast<std::uint64_t>((high - low).count()) + 1));
}

bool virtual_clock::chance(double probability)
{
    return static_cast<double>(random(chanceResolution)) < probability * static_cast<double>(chanceResolution);
}

void virtual_clock::record(const std::string &text)
{
    updateHash(text);
    char time[32];
    std::snprintf(time, sizeof time, "%10.3f s  ", toMs(m_now.time_since_epoch() - std::chrono::hours(1)) / 1000);
    m_trace.push_back(time + text);
    if (m_trace.size() > maxTraceLines) {
        m_trace.pop_front();
    }
}

const std::deque<std::string> &virtual_clock::trace() const
{
    return m_trace;
}

void virtual_clock::updateHash(const std::string &text)
{
    m_hash = XXH3_64bits_withSeed(text.data(), text.size(), m_hash ^ static_cast<std::uint64_t>(m_now.time_since_epoch().count()));
}

std::uint64_t virtual_clock::hash() const
{
    return m_hash;
}

std::uint64_t virtual_clock::events() const
{
    return m_events;
}

}
