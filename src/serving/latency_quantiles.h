#pragma once

#include "transport/core_time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// Class of requests of similar size: each class covers a factor of four. `amount` is the number of prompt tokens, or of bytes of the body.
int sizeClass(double amount);

/// How an observed time is to be read.
enum class latency_sample {
    Answered, ///< The answer took this time.
    Censored ///< The attempt was given up after this time; its answer would have taken longer.
};

/// Response times of first attempts in a sliding window, by route and size class.
///
/// Hedging cancels slow attempts, so their times are only known to exceed the time until then. Leaving such samples out, or counting them as answered, would
/// lower the quantile, which causes more hedges, which lowers it further. The quantile is therefore the product-limit (Kaplan-Meier) estimate, in which a
/// censored sample counts as unanswered up to its time and says nothing beyond.
class latency_quantiles
{
public:
    static constexpr std::size_t windowSamples = 200; ///< Per route and size class: ten samples lie above the 95th percentile.
    static constexpr std::size_t minSamples = 50; ///< With fewer, the 95th percentile rests on one or two samples.
    static constexpr std::size_t maxSeries = 512; ///< Bounds the memory to 2.5 MB. The series that was used least recently is dropped.

    /// Records a sample. A time that is negative or not a number is ignored.
    void record(std::string_view route, int sizeClass, double ms, latency_sample kind, instant now);
    /// The 95th percentile in milliseconds; nullopt until there are enough recent samples. If it lies beyond the censored samples, the longest time seen.
    std::optional<double> percentile95(std::string_view route, int sizeClass, instant now);
    /// Mean further time of the answers that took longer than `ms`; 0 if there was none.
    double meanRemainingMs(std::string_view route, int sizeClass, double ms) const;

    std::size_t series() const;

private:
    struct sample
    {
        double ms = 0;
        latency_sample kind = latency_sample::Answered;
        instant at;
    };
    struct series_state
    {
        std::vector<sample> samples;
        std::size_t next = 0; ///< Position of the oldest sample once the window is full.
        std::optional<double> cached; ///< Result of the last estimate.
        std::size_t newSamples = 0; ///< Since then.
        instant estimatedAt;
        instant usedAt;
    };

    std::optional<double> estimate(const series_state &state, instant now) const;
    void dropLeastRecentlyUsed();

    std::map<std::pair<std::string, int>, series_state> m_series;
};

}
