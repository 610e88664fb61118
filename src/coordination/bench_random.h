#pragma once

#include <cstdint>

namespace lacewinglock
{

/// SplitMix64 generator. The bench avoids the distributions of the standard library because their results differ between implementations.
class bench_random
{
public:
    explicit bench_random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t value = m_state;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    /// Returns a uniformly distributed number in [0, 1).
    double uniform()
    {
        return static_cast<double>(next() >> 11U) * (1.0 / 9007199254740992.0);
    }

    /// Returns a number in [0, limit).
    int below(int limit)
    {
        return static_cast<int>(next() % static_cast<std::uint64_t>(limit));
    }

private:
    std::uint64_t m_state;
};

}
