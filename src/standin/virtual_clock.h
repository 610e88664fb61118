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

/// Discrete-event queue on virtual time with a seeded random generator. The same seed and the same actions produce the same events in the same
/// order.
class virtual_clock
{
public:
    explicit virtual_clock(std::uint64_t seed);

    instant now() const;
    /// Schedules an action `delay` from now. Actions with the same time run in the order of scheduling.
    void after(duration delay, std::string label, std::function<void()> action);
    /// Runs all events up to and including `end`, then sets the time to `end`.
    void runUntil(instant end);

    /// Random number in [0, bound); 0 when the bound is 0.
    std::uint64_t random(std::uint64_t bound);
    /// Random duration in [low, high].
    duration randomBetween(duration low, duration high);
    bool chance(double probability);

    /// Adds a line to the trace, which holds the most recent lines and is printed with a violation. The text also enters the hash.
    void record(const std::string &text);
    const std::deque<std::string> &trace() const;
    /// Hash over the times and labels of all events and the times and texts of all trace lines so far.
    std::uint64_t hash() const;
    /// Number of events run.
    std::uint64_t events() const;

private:
    struct scheduled_event
    {
        instant at;
        std::uint64_t sequence = 0;
        std::string label;
        std::function<void()> action;
    };
    struct later_event
    {
        bool operator()(const scheduled_event &left, const scheduled_event &right) const;
    };

    void updateHash(const std::string &text);

    std::mt19937_64 m_generator;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, later_event> m_queue;
    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_events = 0;
    std::uint64_t m_hash = 0;
    std::deque<std::string> m_trace;
};

}
