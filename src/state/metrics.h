#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace lacewinglock
{

enum class metric_histogram {
    FirstTokenMs,
    TokenGapMs,
    RequestMs,
    Count
};

enum class metric_counter {
    Requests,
    RefusalsNotRun,
    RefusalsUnknown,
    RefusalsPartial,
    RequestsUnanswered,
    EndpointNotices,
    RequestsHeld,
    ControlBytesSent,
    ControlBytesReceived,
    StoreReads,
    RelayReads,
    StoreWrites,
    TickMicroseconds,
    StoreErrors,
    PeerFailures,
    PollFailures,
    HedgesSent,
    HedgesWon,
    HedgesLost,
    HedgesOverBudget,
    EndpointsEjected,
    EndpointsRestored,
    EndpointTrials,
    QuotaRefusals,
    PaceFigures,
    UnevenPlacements,
    AdmissionWaits,
    AdmissionRefusals,
    Count
};

enum class metric_gauge {
    RequestsInFlight,
    Count
};

/// Counters, gauges and histograms that this daemon exports. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void observe(metric_histogram metric, double milliseconds);
    void count(metric_counter metric, std::uint64_t amount = 1);
    void change(metric_gauge metric, std::int64_t difference);

    /// Current values of all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct histogram_state;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(metric_counter::Count)> m_counters{};
    std::array<std::atomic<std::int64_t>, static_cast<std::size_t>(metric_gauge::Count)> m_gauges{};
    std::unique_ptr<histogram_state> m_histograms;
};

}
