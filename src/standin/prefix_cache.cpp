#include "standin/prefix_cache.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxLoggedEvents = 20000; // Older events are forgotten, which shows as a gap.

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
    return m_places.contains(block);
}

// The last block is touched first, so that a prefix outlives its continuations.
void prefix_cache::store(std::span<const std::uint64_t> blocks)
{
    for (std::size_t index = blocks.size(); index > 0; --index) {
        storeOne(blocks[index - 1]);
    }
    while (m_recent.size() > m_maxBlocks) {
        log(m_recent.back(), false);
        m_places.erase(m_recent.back());
        m_recent.pop_back();
    }
}

void prefix_cache::storeOne(std::uint64_t block)
{
    if (const auto found = m_places.find(block); found != m_places.end()) {
        m_recent.splice(m_recent.begin(), m_recent, found->second);
        return;
    }
    m_recent.push_front(block);
    m_places[block] = m_recent.begin();
    log(block, true);
}

void prefix_cache::clear()
{
    for (const auto block : m_recent) {
        log(block, false);
    }
    m_recent.clear();
    m_places.clear();
}

void prefix_cache::log(std::uint64_t block, bool stored)
{
    m_events.push_back({.sequence = ++m_sequence, .block = block, .stored = stored, .at = fake_clock::now()});
    if (m_events.size() > maxLoggedEvents) {
        m_events.pop_front();
    }
}

cache_changes prefix_cache::changes(std::uint64_t since, std::chrono::milliseconds lag, std::uint64_t dropEvery) const
{
    const auto newest = fake_clock::now() - lag;
    cache_changes result{.next = since, .gap = !m_events.empty() && m_events.front().sequence > since + 1};
    std::unordered_map<std::uint64_t, bool> last; // A block that was stored and evicted again is listed once, by its last event.
    for (const auto &event : m_events) {
        if (event.sequence <= since) {
            continue;
        }
        if (event.at > newest) {
            break;
        }
        result.next = event.sequence;
        if (dropEvery != 0 && event.sequence % dropEvery == 0) {
            result.gap = true;
            continue;
        }
        last[event.block] = event.stored;
    }
    for (const auto &[block, stored] : last) {
        (stored ? result.stored : result.evicted).push_back(toHex(block));
    }
    return result;
}

}
