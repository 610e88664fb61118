#include "serving/prefix_index.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double cacheFraction
    = 0.7; // The rest of the KV memory holds the prompts and outputs of running requests, and tokens that other daemons sent without this one knowing yet.

}

prefix_index::prefix_index(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

void prefix_index::setEngineCapacity(double tokens)
{
    m_capacity = tokens;
}

double prefix_index::insertedTokens(std::uint64_t engine) const
{
    const auto found = m_insertedTokens.find(engine);
    return found == m_insertedTokens.end() ? 0 : found->second;
}

bool prefix_index::isCached(const holder &candidate) const
{
    return insertedTokens(candidate.engine) - candidate.insertedAtLastUse <= cacheFraction * m_capacity;
}

void prefix_index::noteUse(const prefix_block &block, std::uint64_t engine)
{
    auto found = m_blocks.find(block.id);
    if (found == m_blocks.end()) {
        if (m_blocks.size() >= m_maxBlocks) {
            m_blocks.erase(m_lru.front());
            m_lru.pop_front();
        }
        found = m_blocks.emplace(block.id, entry{{}, m_lru.insert(m_lru.end(), block.id)}).first;
    } else {
        m_lru.splice(m_lru.end(), m_lru, found->second.lruPosition);
    }
    auto &holders = found->second.holders;
    std::erase_if(holders, [&](const holder &candidate) {
        return !isCached(candidate);
    });
    auto existing = std::ranges::find(holders, engine, &holder::engine);
    if (existing == holders.end()) {
        m_insertedTokens[engine] += block.tokens;
        holders.push_back({engine, 0});
        existing = std::prev(holders.end());
    }
    existing->insertedAtLastUse = insertedTokens(engine);
}

void prefix_index::noteUnsharedSuffix(std::uint64_t engine, double tokens)
{
    m_insertedTokens[engine] += tokens;
}

void prefix_index::forget(std::uint64_t block, std::uint64_t engine)
{
    if (const auto found = m_blocks.find(block); found != m_blocks.end()) {
        std::erase_if(found->second.holders, [&](const holder &candidate) {
            return candidate.engine == engine;
        });
    }
}

bool prefix_index::holds(std::uint64_t block, std::uint64_t engine) const
{
    const auto found = m_blocks.find(block);
    if (found == m_blocks.end()) {
        return false;
    }
    const auto existing = std::ranges::find(found->second.holders, engine, &holder::engine);
    return existing != found->second.holders.end() && isCached(*existing);
}

double prefix_index::cachedTokens(std::span<const prefix_block> prefixBlocks, std::uint64_t engine) const
{
    double tokens = 0;
    for (const auto &block : prefixBlocks) {
        if (!holds(block.id, engine)) {
            break;
        }
        tokens += block.tokens;
    }
    return tokens;
}

std::vector<std::uint64_t> prefix_index::holders(std::uint64_t block) const
{
    std::vector<std::uint64_t> engines;
    if (const auto found = m_blocks.find(block); found != m_blocks.end()) {
        for (const auto &candidate : found->second.holders) {
            if (isCached(candidate)) {
                engines.push_back(candidate.engine);
            }
        }
    }
    return engines;
}

}
