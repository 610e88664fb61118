#include "serving/load_table.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

double load_table::change(part &loads, std::uint64_t endpoint, const endpoint_load &load)
{
    const auto found = loads.find(endpoint);
    const endpoint_load before = found == loads.end() ? endpoint_load{} : found->second;
    if (load == before) {
        return 0;
    }
    auto sum = m_sums.get(endpoint);
    sum.running += load.running - before.running;
    sum.promptTokens += load.promptTokens - before.promptTokens;
    m_sums.set(endpoint, sum);
    if (load == endpoint_load{}) {
        loads.erase(endpoint);
    } else {
        loads[endpoint] = load;
    }
    return std::abs(load.promptTokens - before.promptTokens);
}

double load_table::setPart(std::string_view source, std::span<const load_entry> loads)
{
    auto &held = m_parts[std::string(source)];
    std::vector<std::uint64_t> ended;
    for (const auto &[endpoint, load] : held) {
        if (std::ranges::find(loads, endpoint, &load_entry::endpoint) == loads.end()) {
            ended.push_back(endpoint);
        }
    }
    double largest = 0;
    for (const auto endpoint : ended) {
        largest = std::max(largest, change(held, endpoint, {}));
    }
    for (const auto &[endpoint, load] : loads) {
        largest = std::max(largest, change(held, endpoint, load));
    }
    return largest;
}

double load_table::setOne(std::string_view source, const load_entry &entry)
{
    return change(m_parts[std::string(source)], entry.endpoint, entry.load);
}

void load_table::dropPart(std::string_view source)
{
    if (const auto found = m_parts.find(source); found != m_parts.end()) {
        setPart(source, {});
        m_parts.erase(found);
    }
}

const load_table::sum_table &load_table::sums() const
{
    return m_sums;
}

void load_table::prune(std::uint64_t version)
{
    m_sums.prune(version);
}

endpoint_load load_table::without(std::string_view source, std::uint64_t endpoint, endpoint_load sum) const
{
    if (const auto found = m_parts.find(source); found != m_parts.end()) {
        if (const auto load = found->second.find(endpoint); load != found->second.end()) {
            sum.running -= load->second.running;
            sum.promptTokens -= load->second.promptTokens;
        }
    }
    return sum;
}

}
