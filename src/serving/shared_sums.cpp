#include "serving/shared_sums.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

constexpr double notableChange = 0.1; // As a fraction of the larger number. Smaller changes matter less to decisions than the age of the sums.

constexpr std::size_t maxPublished = 64; // They take 520 bytes of a datagram.
constexpr auto shortestInterval = std::chrono::milliseconds(250); // Between two summaries with sums.
constexpr auto intervalPerSum = std::chrono::milliseconds(8); // With many sums, the interval grows, so that control traffic stays within its bound.
constexpr auto longestInterval = std::chrono::seconds(2); // Bounds the age of small changes.

double relativeChange(double before, double after)
{
    const double larger = std::max(std::abs(before), std::abs(after));
    return larger > 0 ? std::abs(after - before) / larger : 0;
}

}

std::uint64_t sumKey(sum_purpose purpose, std::string_view name)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), static_cast<std::uint64_t>(purpose) + 1) >> (64 - sumKeyBits);
}

std::uint64_t sumKey(sum_purpose purpose, std::uint64_t hash)
{
    return XXH3_64bits_withSeed(&hash, sizeof hash, static_cast<std::uint64_t>(purpose) + 1) >> (64 - sumKeyBits);
}

void shared_sums::setOwn(std::uint64_t key, double value)
{
    if (value > 0) {
        m_own[key].value = std::min(value, maxSum);
    } else if (const auto found = m_own.find(key); found != m_own.end()) {
        // Kept until the withdrawal is published.
        found->second.value = 0;
        if (found->second.published == 0) {
            m_own.erase(found);
        }
    }
}

double shared_sums::own(std::uint64_t key) const
{
    const auto found = m_own.find(key);
    return found == m_own.end() ? 0 : found->second.value;
}

double shared_sums::published(std::uint64_t key) const
{
    const auto found = m_own.find(key);
    return found == m_own.end() ? 0 : found->second.published;
}

double shared_sums::others(std::uint64_t key) const
{
    const auto found = m_others.find(key);
    return found == m_others.end() ? 0 : found->second;
}

std::size_t shared_sums::size() const
{
    return m_own.size();
}

std::vector<sum_entry> shared_sums::toPublish(std::size_t count)
{
    std::vector<std::uint64_t> keys;
    keys.reserve(m_own.size());
    for (const auto &[key, number] : m_own) {
        keys.push_back(key);
    }
    std::ranges::sort(keys, [&](std::uint64_t left, std::uint64_t right) {
        const auto &a = m_own.at(left);
        const auto &b = m_own.at(right);
        const double changeA = relativeChange(a.published, a.value);
        const double changeB = relativeChange(b.published, b.value);
        return changeA != changeB ? changeA > changeB : left < right;
    });
    std::vector<sum_entry> out;
    for (const auto key : keys) {
        auto &number = m_own.at(key);
        const bool sent = number.value != 0 && out.size() < count;
        number.published = sent ? number.value : 0;
        if (sent) {
            out.push_back({key, number.value});
        } else if (number.value == 0) {
            m_own.erase(key);
        }
    }
    return out;
}

bool shared_sums::hasChanged() const
{
    return std::ranges::any_of(m_own, [](const auto &entry) {
        return relativeChange(entry.second.published, entry.second.value) > notableChange;
    });
}

std::optional<std::vector<sum_entry>> shared_sums::takeDue(instant now)
{
    if (m_publishedAt) {
        const auto elapsed = now - *m_publishedAt;
        const auto interval = std::max<duration>(shortestInterval, intervalPerSum * static_cast<int>(m_publishedCount));
        if (elapsed < interval || (elapsed < longestInterval && !hasChanged())) {
            return std::nullopt;
        }
    }
    m_publishedAt = now;
    auto out = toPublish(maxPublished);
    m_publishedCount = out.size();
    return out;
}

void shared_sums::setOthers(const sum_entry &entry)
{
    if (!(entry.value > 0)) {
        m_others.erase(entry.key);
    } else {
        m_others[entry.key] = entry.value;
    }
}

void shared_sums::clearOthers()
{
    m_others.clear();
}

}
