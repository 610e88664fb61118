#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// A block of prompt tokens. Prompts with a common prefix share their leading blocks.
struct prefix_block
{
    std::uint64_t id = 0;
    double tokens = 0; ///< Length in tokens.
};

/// Estimates which prefix blocks each engine has in its KV cache, from the requests that were sent to it.
///
/// An engine evicts the least recently used blocks when its KV memory is full. So a block counts as cached until about as many tokens as the
/// memory holds were inserted since the last use of the block.
class prefix_index
{
public:
    /// `maxBlocks` limits the number of indexed blocks; the least recently used ones are removed.
    explicit prefix_index(std::size_t maxBlocks = 8192);

    /// Sets the capacity of an engine's KV memory in tokens; the same for all engines.
    void setEngineCapacity(double tokens);
    /// A request that uses the block was sent to the engine, which has it cached from now on.
    void noteUse(const prefix_block &block, std::uint64_t engine);
    /// Tokens of an unshared suffix were inserted into the engine's KV memory. They displace cached blocks.
    void noteUnsharedSuffix(std::uint64_t engine, double tokens);
    /// Removes a block that the engine turned out not to have.
    void forget(std::uint64_t block, std::uint64_t engine);

    /// Tokens of the leading blocks that the engine probably has cached. A block counts only if all blocks before it do.
    double cachedTokens(std::span<const prefix_block> prefixBlocks, std::uint64_t engine) const;
    /// Engines that probably have the block cached.
    std::vector<std::uint64_t> holders(std::uint64_t block) const;

private:
    struct holder
    {
        std::uint64_t engine = 0;
        double insertedAtLastUse = 0; ///< The engine's inserted tokens at the last use of the block.
    };
    struct entry
    {
        std::vector<holder> holders;
        std::list<std::uint64_t>::iterator lruPosition;
    };

    bool holds(std::uint64_t block, std::uint64_t engine) const;
    bool isCached(const holder &candidate) const;
    double insertedTokens(std::uint64_t engine) const;

    std::size_t m_maxBlocks;
    double m_capacity = 4e5; ///< In tokens; used until the configuration sets it.
    std::unordered_map<std::uint64_t, double> m_insertedTokens; ///< Tokens inserted since the start, by engine.
    std::list<std::uint64_t> m_lru; ///< Least recently used first.
    std::unordered_map<std::uint64_t, entry> m_blocks;
};

}
