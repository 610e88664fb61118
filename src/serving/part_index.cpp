#include "serving/part_index.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double usedMemory = 0.7; // The rest holds the prompts and outputs of running requests, and what other daemons sent unseen.

}

part_index::part_index(std::size_t maxParts)
    : m_maxParts(maxParts)
{
}

void part_index::setEngineCapacity(double tokens)
{
    m_capacity = tokens;
}

double part_index::takenIn(std::uint64_t engine) const
{
    const auto found = m_takenIn.find(engine);
    return found == m_takenIn.end() ? 0 : found->second;
}

bool part_index::isKept(const holder &one) const
{
    return takenIn(one.engine) - one.usedAt <= usedMemory * m_capacity;
}

void part_index::noteUse(const prompt_part &part, std::uint64_t engine)
{
    auto found = m_parts.find(part.id);
    if (found == m_parts.end()) {
        if (m_parts.size() >= m_maxParts) {
            m_parts.erase(m_order.front());
            m_order.pop_front();
        }
        found = m_parts.emplace(part.id, entry{{}, m_order.insert(m_order.end(), part.id)}).first;
    } else {
        m_order.splice(m_order.end(), m_order, found->second.order);
    }
    auto &holders = found->second.holders;
    std::erase_if(holders, [&](const holder &one) {
        return !isKept(one);
    });
    auto same = std::ranges::find(holders, engine, &holder::engine);
    if (same == holders.end()) {
        m_takenIn[engine] += part.tokens;
        holders.push_back({engine, 0});
        same = std::prev(holders.end());
    }
    same->usedAt = takenIn(engine);
}

void part_index::noteUnshared(std::uint64_t engine, double tokens)
{
    m_takenIn[engine] += tokens;
}

void part_index::forget(std::uint64_t part, std::uint64_t engine)
{
    if (const auto found = m_parts.find(part); found != m_parts.end()) {
        std::erase_if(found->second.holders, [&](const holder &one) {
            return one.engine == engine;
        });
    }
}

bool part_index::holds(std::uint64_t part, std::uint64_t engine) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end()) {
        return false;
    }
    const auto same = std::ranges::find(found->second.holders, engine, &holder::engine);
    return same != found->second.holders.end() && isKept(*same);
}

double part_index::cachedTokens(std::span<const prompt_part> parts, std::uint64_t engine) const
{
    double tokens = 0;
    for (const auto &part : parts) {
        if (!holds(part.id, engine)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

std::vector<std::uint64_t> part_index::holders(std::uint64_t part) const
{
    std::vector<std::uint64_t> out;
    if (const auto found = m_parts.find(part); found != m_parts.end()) {
        for (const auto &one : found->second.holders) {
            if (isKept(one)) {
                out.push_back(one.engine);
            }
        }
    }
    return out;
}

}
