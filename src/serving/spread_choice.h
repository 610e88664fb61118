#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// Options of a placement with their costs, of which one is chosen.
///
/// Addresses herding: daemons learn the load of others up to 300 ms late, so many of them would choose the cheapest option at the same time. With a
/// random number, the cheapest of a few options drawn at random is chosen. Without one, the cheapest of all, and of equal ones the first.
template <typename Option>
class spread_choice
{
public:
    /// Adds an option. Only options of the group of the cheapest one are chosen: a random choice must not refuse or delay a request.
    void add(double cost, int group, Option option)
    {
        if (m_options.empty() || cost < m_options[m_cheapest].cost) {
            m_cheapest = m_options.size();
        }
        m_options.push_back({.cost = cost, .group = group, .option = std::move(option)});
    }

    /// Chooses an option, with a random number from at most `maxDraws` drawn ones. Returns nullopt when there are none.
    std::optional<Option> take(std::optional<std::uint32_t> random, std::size_t maxDraws) const
    {
        if (m_options.empty()) {
            return std::nullopt;
        }
        return m_options[random ? cheapestDrawn(*random, maxDraws) : m_cheapest].option;
    }

private:
    struct priced_option
    {
        double cost = 0;
        int group = 0;
        Option option;
    };

    // Of few options, not all are drawn, because that would be the cheapest one again.
    static constexpr std::size_t optionsPerDraw = 3;

    // SplitMix64: also gives unrelated numbers for adjacent seeds.
    static std::uint64_t nextRandom(std::uint64_t &state)
    {
        state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = (state ^ (state >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    std::size_t cheapestDrawn(std::uint32_t random, std::size_t maxDraws) const
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_options.size(); ++i) {
            if (m_options[i].group == m_options[m_cheapest].group) {
                candidates.push_back(i);
            }
        }
        const std::size_t draws = std::min({maxDraws, candidates.size(), 1 + (candidates.size() + optionsPerDraw - 1) / optionsPerDraw});
        std::uint64_t state = random;
        std::size_t best = m_cheapest;
        for (std::size_t drawn = 0; drawn < draws; ++drawn) {
            std::swap(candidates[drawn], candidates[drawn + nextRandom(state) % (candidates.size() - drawn)]);
            const std::size_t next = candidates[drawn];
            best = drawn == 0 || m_options[next].cost < m_options[best].cost ? next : best;
        }
        return best;
    }

    std::vector<priced_option> m_options;
    std::size_t m_cheapest = 0;
};

}
