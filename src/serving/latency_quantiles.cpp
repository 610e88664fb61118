#include "serving/latency_quantiles.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr int maxSizeClass = 15;
constexpr double unansweredFraction = 0.05; // Beyond the 95th percentile.
constexpr double rounding = 1e-9; // Of a product of up to 200 factors.
constexpr auto maxSampleAge = std::chrono::seconds(60); // Older response times belong to another load.
// The estimate sorts the window, so it is repeated only after this many new samples or this time.
constexpr std::size_t samplesPerEstimate = 10;
constexpr auto estimateLifetime = std::chrono::seconds(1);

}

int sizeClass(double amount)
{
    if (!(amount >= 1)) {
        return 0;
    }
    return std::min(1 + static_cast<int>(std::log2(std::min(amount, 1e12)) / 2), maxSizeClass);
}

void latency_quantiles::record(std::string_view route, int sizeClass, double ms, latency_sample kind, instant now)
{
    if (!std::isfinite(ms) || ms < 0) {
        return;
    }
    std::pair key(std::string(route), sizeClass);
    if (!m_series.contains(key) && m_series.size() >= maxSeries) {
        dropLeastRecentlyUsed();
    }
    auto &state = m_series[std::move(key)];
    const sample added{.ms = ms, .kind = kind, .at = now};
    if (state.samples.size() < windowSamples) {
        state.samples.push_back(added);
    } else {
        state.samples[state.next] = added;
        state.next = (state.next + 1) % windowSamples;
    }
    ++state.newSamples;
    state.usedAt = now;
}

std::optional<double> latency_quantiles::percentile95(std::string_view route, int sizeClass, instant now)
{
    const auto found = m_series.find({std::string(route), sizeClass});
    if (found == m_series.end()) {
        return std::nullopt;
    }
    auto &state = found->second;
    state.usedAt = now;
    if (state.newSamples >= samplesPerEstimate || now - state.estimatedAt >= estimateLifetime) {
        state.cached = estimate(state, now);
        state.newSamples = 0;
        state.estimatedAt = now;
    }
    return state.cached;
}

std::optional<double> latency_quantiles::estimate(const series_state &state, instant now) const
{
    std::vector<sample> recent;
    std::ranges::copy_if(state.samples, std::back_inserter(recent), [now](const sample &each) {
        return now - each.at <= maxSampleAge;
    });
    if (recent.size() < minSamples) {
        return std::nullopt;
    }
    std::ranges::sort(recent, [](const sample &left, const sample &right) {
        return std::pair(left.ms, left.kind) < std::pair(right.ms, right.kind);
    });
    double unanswered = 1; // Estimated fraction of the attempts that take longer than the sample.
    auto atRisk = static_cast<double>(recent.size()); // Samples that have lasted at least as long.
    for (const auto &each : recent) {
        if (each.kind == latency_sample::Answered) {
            unanswered *= 1 - 1 / atRisk;
            if (unanswered <= unansweredFraction + rounding) {
                return each.ms;
            }
        }
        --atRisk;
    }
    return recent.back().ms;
}

double latency_quantiles::meanRemainingMs(std::string_view route, int sizeClass, double ms) const
{
    const auto found = m_series.find({std::string(route), sizeClass});
    if (found == m_series.end()) {
        return 0;
    }
    double sum = 0;
    int count = 0;
    for (const auto &each : found->second.samples) {
        if (each.kind == latency_sample::Answered && each.ms > ms) {
            sum += each.ms - ms;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

std::size_t latency_quantiles::series() const
{
    return m_series.size();
}

void latency_quantiles::dropLeastRecentlyUsed()
{
    m_series.erase(std::ranges::min_element(m_series, {}, [](const auto &entry) {
        return entry.second.usedAt;
    }));
}

}
