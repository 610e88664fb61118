#include "serving/part_index.h"

#include <algorithm>

namespace lacewinglock
{

part_index::part_index(std::size_t maxParts)
    : m_maxParts(maxParts)
{
}

void part_index::noteUse(std::uint64_t part, std::uint64_t engine, instant now)
{
    auto found = m_parts.find(part);
    if (found == m_parts.end()) {
        if (m_parts.size() >= m_maxParts) {
            m_parts.erase(m_order.front());
            m_order.pop_front();
        }
        found = m_parts.emplace(part, entry{{}, m_order.insert(m_order.end(), part)}).first;
    } else {
        m_order.splice(m_order.end(), m_order, found->second.order);
    }
    auto &holders = found->second.holders;
    const auto same = std::ranges::find(holders, engine, &holder::engine);
    if (same != holders.end()) {
        same->usedAt = std::max(same->usedAt, now);
    } else {
        holders.push_back({engine, now});
    }
}

void part_index::forget(std::uint64_t part, std::uint64_t engine)
{
    if (const auto found = m_parts.find(part); found != m_parts.end()) {
        std::erase_if(found->second.holders, [&](const holder &one) {
            return one.engine == engine;
        });
    }
}

void part_index::forgetEngine(std::uint64_t engine)
{
    for (auto &[part, entry] : m_parts) {
        std::erase_if(entry.holders, [&](const holder &one) {
            return one.engine == engine;
        });
    }
}

bool part_index::holds(std::uint64_t part, std::uint64_t engine) const
{
    const auto found = m_parts.find(part);
    return found != m_parts.end() && std::ranges::find(found->second.holders, engine, &holder::engine) != found->second.holders.end();
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
    const auto found = m_parts.find(part);
    if (found == m_parts.end()) {
        return out;
    }
    auto holders = found->second.holders;
    std::ranges::sort(holders, [](const holder &left, const holder &right) {
        return left.usedAt > right.usedAt;
    });
    for (const auto &one : holders) {
        out.push_back(one.engine);
    }
    return out;
}

}
