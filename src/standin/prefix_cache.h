#pragma once

#include "standin/fault_registry.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// Changes of a prefix cache since a sequence number.
struct cache_changes
{
    std::uint64_t next = 0; ///< Sequence number of the last event covered, to be passed in the next query.
    bool gap = false; ///< Whether events are missing.
    std::vector<std::string> stored; ///< Block hashes in hexadecimal.
    std::vector<std::string> evicted; ///< Block hashes in hexadecimal.
};

/// LRU prefix cache of a fake engine: block hashes, and a log of cache events that is published with a delay. Not thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t maxBlocks);

    /// Returns the number of consecutive cached blocks from the start of the prompt.
    std::size_t countCached(std::span<const std::uint64_t> blocks) const;
    /// Inserts the blocks, or marks them as used most recently, and evicts the least recently used blocks beyond the capacity.
    void store(std::span<const std::uint64_t> blocks);
    bool contains(std::uint64_t block) const;
    void clear();

    /// Returns the changes after sequence number `since` that are at least `lag` old. With a `dropEvery` of N, each Nth event is left out and
    /// `gap` is set; 0 drops none.
    cache_changes changesSince(std::uint64_t since, std::chrono::milliseconds lag, std::uint64_t dropEvery) const;

private:
    struct cache_event
    {
        std::uint64_t sequence = 0;
        std::uint64_t block = 0;
        bool stored = true;
        fake_clock::time_point at;
    };

    void logEvent(std::uint64_t block, bool stored);
    void storeBlock(std::uint64_t block);

    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_lruBlocks; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::deque<cache_event> m_events;
    std::uint64_t m_sequence = 0;
};

/// Formats the value as 16 hexadecimal digits.
std::string toHex(std::uint64_t value);

}
