#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// One part of a prompt. Prompts share leading parts.
struct prompt_part
{
    std::uint64_t id = 0;
    double tokens = 0;
};

/// Which engines were sent which prompt parts lately, and so probably keep them in memory.
///
/// An engine drops what was used least recently when its memory is full. So a part counts as kept until about as many tokens as its memory
/// holds were put into it since the part's last use.
class part_index
{
public:
    /// `maxParts` bounds the memory; the parts used least recently are forgotten.
    explicit part_index(std::size_t maxParts = 8192);

    /// Tokens that an engine's memory holds.
    void setEngineCapacity(double tokens);
    void noteUse(const prompt_part &part, std::uint64_t engine);
    /// The engine took in tokens that no later prompt shares.
    void noteUnshared(std::uint64_t engine, double tokens);
    /// The engine turned out not to have the part.
    void forget(std::uint64_t part, std::uint64_t engine);

    /// Tokens of the leading parts that the engine probably keeps: a part counts only if all parts before it do.
    double cachedTokens(std::span<const prompt_part> parts, std::uint64_t engine) const;
    /// Engines that probably keep the part.
    std::vector<std::uint64_t> holders(std::uint64_t part) const;

private:
    struct holder
    {
        std::uint64_t engine = 0;
        double usedAt = 0; ///< Tokens that the engine had taken in by then.
    };
    struct entry
    {
        std::vector<holder> holders;
        std::list<std::uint64_t>::iterator order;
    };

    bool holds(std::uint64_t part, std::uint64_t engine) const;
    bool isKept(const holder &one) const;
    double takenIn(std::uint64_t engine) const;

    std::size_t m_maxParts;
    double m_capacity = 4e5; ///< Until the configuration tells.
    std::unordered_map<std::uint64_t, double> m_takenIn; ///< Tokens by engine.
    std::list<std::uint64_t> m_order; ///< Least recently used first.
    std::unordered_map<std::uint64_t, entry> m_parts;
};

}
