#pragma once

#include "transport/core_time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Event queue on virtual time with a seeded generator. The same seed and the same actions give the same events in the same order.
class virtual_clock
{
public:
    explicit virtual_clock(std::uint64_t seed);

    instant now() const;
    void after(duration delay, std::string label, std::function<void()> action);
    void runUntil(instant end);

    std::uint64_t random(std::uint64_t bound);
    duration between(duration low, duration high);
    bool chance(double probability);

    /// Adds a line to the trace of the last events, which is printed with a violation.
    void note(const std::string &text);
    const std::deque<std::string> &trace() const;
    /// Hash of the times and labels of all events and notes so far.
    std::uint64_t hash() const;
    std::uint64_t events() const;

private:
    struct entry
    {
        instant at;
        std::uint64_t sequence = 0;
        std::string label;
        std::function<void()> action;
    };
    struct later
    {
        bool operator()(const entry &left, const entry &right) const;
    };

    void absorb(const std::string &text);

    std::mt19937_64 m_generator;
    std::priority_queue<entry, std::vector<entry>, later> m_queue;
    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_events = 0;
    std::uint64_t m_hash = 0;
    std::deque<std::string> m_trace;
};

}
