#include "serving/usage_windows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

std::string encodeCounts(const usage_counts &counts)
{
    return nlohmann::json(counts).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool addCounts(usage_counts &sum, std::string_view stored)
{
    const auto document = nlohmann::json::parse(stored, nullptr, false);
    if (!document.is_object()) {
        return false;
    }
    const bool whole = std::ranges::all_of(document, [](const auto &count) {
        return count.is_number_unsigned();
    });
    if (!whole) {
        return false;
    }
    for (const auto &[organisation, count] : document.items()) {
        sum[organisation] += count.template get<std::uint64_t>();
    }
    return true;
}

usage_windows::usage_windows(std::int64_t lengthMs)
    : m_lengthMs(lengthMs)
{
}

void usage_windows::note(std::string_view organisation, std::int64_t trueTimeMs)
{
    auto &window = m_windows[windowAt(trueTimeMs)];
    ++window.counts[std::string(organisation)];
    ++window.revision;
}

std::int64_t usage_windows::windowAt(std::int64_t trueTimeMs) const
{
    return trueTimeMs / m_lengthMs;
}

std::int64_t usage_windows::endOf(std::int64_t window) const
{
    return (window + 1) * m_lengthMs;
}

std::vector<usage_windows::change> usage_windows::unstored() const
{
    std::vector<change> out;
    for (const auto &[window, counted] : m_windows) {
        if (counted.revision != counted.stored) {
            out.push_back({window, counted.revision, counted.counts});
        }
    }
    return out;
}

void usage_windows::noteStored(std::int64_t window, std::uint64_t revision)
{
    if (const auto found = m_windows.find(window); found != m_windows.end()) {
        found->second.stored = std::max(found->second.stored, revision);
    }
}

void usage_windows::forgetBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

std::int64_t clockCorrection(std::vector<std::int64_t> differencesMs)
{
    differencesMs.push_back(0);
    const auto middle = differencesMs.begin() + static_cast<std::ptrdiff_t>(differencesMs.size() / 2);
    std::ranges::nth_element(differencesMs, middle);
    return *middle;
}

}
