#include "serving/usage_windows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr std::int64_t countDelayMs = 300; // Requests that began before the end of a window are counted within this time after it.

}

std::string encodeCounts(const usage_counts &counts)
{
    return nlohmann::json(counts).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool addCounts(usage_counts &sum, std::string_view encoded)
{
    const auto document = nlohmann::json::parse(encoded, nullptr, false);
    if (!document.is_object()) {
        return false;
    }
    const bool allUnsigned = std::ranges::all_of(document, [](const auto &count) {
        return count.is_number_unsigned();
    });
    if (!allUnsigned) {
        return false;
    }
    for (const auto &[organisation, count] : document.items()) {
        sum[organisation] += count.template get<std::uint64_t>();
    }
    return true;
}

std::string encodeUsage(const daemon_usage &usage)
{
    return nlohmann::json{{"counts", usage.counts}, {"final", usage.final}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<daemon_usage> parseUsage(std::string_view encoded)
{
    const auto document = nlohmann::json::parse(encoded, nullptr, false);
    if (!document.is_object() || !document.contains("counts") || !document.contains("final") || !document["final"].is_boolean()) {
        return std::nullopt;
    }
    daemon_usage out{.final = document["final"].get<bool>()};
    if (!addCounts(out.counts, document["counts"].dump())) {
        return std::nullopt;
    }
    return out;
}

usage_windows::usage_windows(std::int64_t lengthMs)
    : m_lengthMs(lengthMs)
{
}

void usage_windows::countRequest(std::string_view organisation, std::int64_t correctedTimeMs)
{
    auto &window = m_windows[windowAt(correctedTimeMs)];
    ++window.counts[std::string(organisation)];
    ++window.revision;
}

std::int64_t usage_windows::windowAt(std::int64_t correctedTimeMs) const
{
    return correctedTimeMs / m_lengthMs;
}

std::int64_t usage_windows::windowEndMs(std::int64_t window) const
{
    return (window + 1) * m_lengthMs;
}

std::vector<usage_windows::change> usage_windows::unstored(std::int64_t correctedTimeMs)
{
    // A daemon without requests also stores final counts, so that the report does not wait for them.
    const std::int64_t ended = windowAt(correctedTimeMs - countDelayMs) - 1;
    if (m_firstWindow < 0) {
        m_firstWindow = ended + 1;
    }
    if (ended >= m_firstWindow) {
        m_windows.try_emplace(ended);
    }
    std::vector<change> out;
    for (const auto &[window, entry] : m_windows) {
        const bool final = window <= ended;
        if (entry.revision != entry.storedRevision || (final && !entry.storedFinal)) {
            out.push_back({window, entry.revision, {entry.counts, final}});
        }
    }
    return out;
}

void usage_windows::markStored(const change &written)
{
    if (const auto found = m_windows.find(written.window); found != m_windows.end()) {
        found->second.storedRevision = std::max(found->second.storedRevision, written.revision);
        found->second.storedFinal = found->second.storedFinal || written.usage.final;
    }
}

void usage_windows::markAllUnstored()
{
    for (auto &[window, entry] : m_windows) {
        entry.storedRevision = 0;
        entry.storedFinal = false;
    }
}

void usage_windows::eraseBefore(std::int64_t window)
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
