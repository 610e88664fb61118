#include "serving/sum_table.h"

#include <algorithm>

namespace lacewinglock
{

sum_table::sum_table(duration intervalPerKey)
    : m_intervalPerKey(intervalPerKey)
{
}

sum_table::source_part &sum_table::part(std::string_view source)
{
    if (const auto found = m_sources.find(source); found != m_sources.end()) {
        return found->second;
    }
    return m_sources.emplace(std::string(source), source_part{.number = ++m_lastSource}).first->second;
}

void sum_table::change(source_part &from, std::uint64_t key, double value, instant now)
{
    if (value == 0 && !from.keys.contains(key)) {
        return;
    }
    auto &state = m_keys[key];
    const auto found = std::ranges::find(state.parts, from.number, &key_part::source);
    if (found == state.parts.end()) {
        state.parts.push_back({from.number, value});
        from.keys.insert(key);
    } else if (value == found->value) {
        return;
    } else if (value == 0) {
        state.parts.erase(found);
        from.keys.erase(key);
    } else {
        found->value = value;
    }
    m_waiting.emplace(state.listedAt, key);
    listDue(now);
}

void sum_table::setPart(std::string_view source, std::span<const sum_entry> entries, instant now)
{
    auto &held = part(source);
    std::unordered_set<std::uint64_t> ended = held.keys;
    for (const auto &[key, value] : entries) {
        ended.erase(key);
        change(held, key, value, now);
    }
    for (const auto key : ended) {
        change(held, key, 0, now);
    }
}

void sum_table::setOne(std::string_view source, const sum_entry &entry, instant now)
{
    change(part(source), entry.key, entry.value, now);
}

void sum_table::dropPart(std::string_view source, instant now)
{
    if (m_sources.contains(source)) {
        setPart(source, {}, now);
        m_sources.erase(m_sources.find(source));
    }
}

void sum_table::listDue(instant now)
{
    const duration interval = m_intervalPerKey * static_cast<std::int64_t>(m_keys.size());
    while (!m_waiting.empty() && (m_waiting.begin()->first == instant{} || now - m_waiting.begin()->first >= interval)) {
        listFirst(now);
    }
}

void sum_table::listAll(instant now)
{
    while (!m_waiting.empty()) {
        listFirst(now);
    }
}

void sum_table::listFirst(instant now)
{
    const auto key = m_waiting.begin()->second;
    m_waiting.erase(m_waiting.begin());
    auto &state = m_keys.at(key);
    state.listedAt = now;
    double sum = 0;
    for (const auto &[source, value] : state.parts) {
        sum += value;
    }
    m_listed.set(key, sum);
}

const sum_table::listed_table &sum_table::listed() const
{
    return m_listed;
}

void sum_table::prune(std::uint64_t version)
{
    m_listed.prune(version);
    std::erase_if(m_keys, [&](const auto &entry) {
        const auto &[key, state] = entry;
        return state.parts.empty() && !m_listed.entries().contains(key) && !m_waiting.contains({state.listedAt, key});
    });
}

double sum_table::without(std::string_view source, std::uint64_t key) const
{
    const auto state = m_keys.find(key);
    if (state == m_keys.end()) {
        return 0;
    }
    const auto left = m_sources.find(source);
    double sum = 0;
    for (const auto &[number, value] : state->second.parts) {
        sum += left != m_sources.end() && left->second.number == number ? 0 : value;
    }
    return sum;
}

}
