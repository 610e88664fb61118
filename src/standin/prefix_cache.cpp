#include "standin/prefix_cache.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxLoggedEvents = 20000; // Older events are discarded; a query for them reports a gap.

}

std::string toHex(std::uint64_t value)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
    return text.data();
}

prefix_cache::prefix_cache(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

std::size_t prefix_cache::countCached(std::span<const std::uint64_t> blocks) const
{
    std::size_t count = 0;
    while (count < blocks.size() && contains(blocks[count])) {
        ++count;
    }
    return count;
}

bool prefix_cache::contains(std::uint64_t block) const
{
    return m_positions.contains(block);
}

// Blocks are stored from last to first, so that the last ones are evicted before the prefix that they extend.
void prefix_cache::store(std::span<const std::uint64_t> blocks)
{
    for (std::size_t index = blocks.size(); index > 0; --index) {
        storeBlock(blocks[index - 1]);
    }
    while (m_lruBlocks.size() > m_maxBlocks) {
        logEvent(m_lruBlocks.back(), false);
        m_positions.erase(m_lruBlocks.back());
        m_lruBlocks.pop_back();
    }
}

void prefix_cache::storeBlock(std::uint64_t block)
{
    if (const auto found = m_positions.find(block); found != m_positions.end()) {
        m_lruBlocks.splice(m_lruBlocks.begin(), m_lruBlocks, found->second);
        return;
    }
    m_lruBlocks.push_front(block);
    m_positions[block] = m_lruBlocks.begin();
    logEvent(block, true);
}

void prefix_cache::clear()
{
    for (const auto block : m_lruBlocks) {
        logEvent(block, false);
    }
    m_lruBlocks.clear();
    m_positions.clear();
}

void prefix_cache::logEvent(std::uint64_t block, bool stored)
{
    m_events.push_back({.sequence = ++m_sequence, .block = block, .stored = stored, .at = fake_clock::now()});
    if (m_events.size() > maxLoggedEvents) {
        m_events.pop_front();
    }
}

cache_changes prefix_cache::changesSince(std::uint64_t since, std::chrono::milliseconds lag, std::uint64_t dropEvery) const
{
    const auto publishedUntil = fake_clock::now() - lag;
    cache_changes result{.next = since, .gap = !m_events.empty() && m_events.front().sequence > since + 1};
    std::unordered_map<std::uint64_t, bool> lastEvents; // Blocks with several events are listed once, by the last event.
    for (const auto &event : m_events) {
        if (event.sequence <= since) {
            continue;
        }
        if (event.at > publishedUntil) {
            break;
        }
        result.next = event.sequence;
        if (dropEvery != 0 && event.sequence % dropEvery == 0) {
            result.gap = true;
            continue;
        }
        lastEvents[event.block] = event.stored;
    }
    for (const auto &[block, stored] : lastEvents) {
        (stored ? result.stored : result.evicted).push_back(toHex(block));
    }
    return result;
}

}
