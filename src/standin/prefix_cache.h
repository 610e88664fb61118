#pragma once

#include "standin/fault_board.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// What changed in a prefix cache since a sequence number.
struct cache_changes
{
    std::uint64_t next = 0;
    bool gap = false;
    std::vector<std::string> stored; ///< Hex.
    std::vector<std::string> evicted;
};

/// The prefix cache of a fake engine: block hashes in order of last use, with a log of events that is published late. Not thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t maxBlocks);

    /// Number of leading blocks that are cached.
    std::size_t countCached(std::span<const std::uint64_t> blocks) const;
    void store(std::span<const std::uint64_t> blocks);
    bool contains(std::uint64_t block) const;
    void clear();

    /// Events after `since` that are at least `lag` old. With `dropEvery` N, each Nth event is lost and shows as a gap.
    cache_changes changes(std::uint64_t since, std::chrono::milliseconds lag, std::uint64_t dropEvery) const;

private:
    struct cache_event
    {
        std::uint64_t sequence = 0;
        std::uint64_t block = 0;
        bool stored = true;
        fake_clock::time_point at;
    };

    void log(std::uint64_t block, bool stored);
    void storeOne(std::uint64_t block);

    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_recent; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
    std::deque<cache_event> m_events;
    std::uint64_t m_sequence = 0;
};

std::string toHex(std::uint64_t value);

}
