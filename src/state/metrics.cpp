#include "state/metrics.h"

#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>
#include <string_view>
#include <vector>

namespace lacewinglock
{

namespace
{

// Upper bounds in milliseconds. 42 and 740 are the targets for the time between tokens and for the time to first token.
const std::vector<double> bucketEdges{0, 1, 2, 5, 10, 20, 42, 80, 150, 300, 500, 740, 1000, 2000, 5000, 10000, 30000, 60000};

constexpr std::array<std::string_view, static_cast<std::size_t>(metric_histogram::Count)> histogramNames{
    "lacewinglock_first_token_ms",
    "lacewinglock_token_gap_ms",
    "lacewinglock_request_ms",
};

struct counter_name
{
    std::string_view name;
    std::string_view labels; ///< Counters of the same name must be adjacent, because the type line is written once before them.
};

constexpr std::array<counter_name, static_cast<std::size_t>(metric_counter::Count)> counterNames{{
    {"lacewinglock_requests_total", ""},
    {"lacewinglock_refusals_total", "{run_state=\"not_run\"}"},
    {"lacewinglock_refusals_total", "{run_state=\"unknown\"}"},
    {"lacewinglock_refusals_total", "{run_state=\"partial\"}"},
    {"lacewinglock_requests_unanswered_total", ""},
    {"lacewinglock_endpoint_notices_total", ""},
    {"lacewinglock_requests_held_total", ""},
    {"lacewinglock_control_bytes_sent_total", ""},
    {"lacewinglock_control_bytes_received_total", ""},
    {"lacewinglock_store_reads_total", ""},
    {"lacewinglock_relay_reads_total", ""},
    {"lacewinglock_store_writes_total", ""},
    {"lacewinglock_tick_cpu_us_total", ""},
    {"lacewinglock_store_errors_total", ""},
    {"lacewinglock_peer_failures_total", ""},
    {"lacewinglock_poll_failures_total", ""},
    {"lacewinglock_hedges_sent_total", ""},
    {"lacewinglock_hedges_won_total", ""},
    {"lacewinglock_hedges_lost_total", ""},
    {"lacewinglock_hedges_over_budget_total", ""},
    {"lacewinglock_endpoints_ejected_total", ""},
    {"lacewinglock_endpoints_restored_total", ""},
    {"lacewinglock_endpoint_trials_total", ""},
    {"lacewinglock_quota_refusals_total", ""},
    {"lacewinglock_pace_figures_total", ""},
    {"lacewinglock_uneven_placements_total", ""},
    {"lacewinglock_admission_waits_total", ""},
    {"lacewinglock_admission_refusals_total", ""},
}};

constexpr std::array<std::string_view, static_cast<std::size_t>(metric_gauge::Count)> gaugeNames{
    "lacewinglock_requests_in_flight",
};

auto makeHistogram()
{
    return boost::histogram::make_histogram(boost::histogram::axis::variable<>(bucketEdges));
}

using time_histogram = decltype(makeHistogram());

struct series
{
    std::mutex mutex;
    time_histogram histogram = makeHistogram();
    double sum = 0;
};

void writeSeries(std::ostringstream &out, std::string_view name, series &data)
{
    const std::lock_guard lock(data.mutex);
    out << "# TYPE " << name << " histogram\n";
    double total = 0;
    for (auto &&bucket : boost::histogram::indexed(data.histogram)) {
        total += *bucket;
        out << name << "_bucket{le=\"" << bucket.bin().upper() << "\"} " << total << "\n";
    }
    total += data.histogram.at(data.histogram.axis().size());
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n" << name << "_sum " << data.sum << "\n" << name << "_count " << total << "\n";
}

}

struct metrics::histogram_state
{
    std::array<series, static_cast<std::size_t>(metric_histogram::Count)> all;
};

metrics::metrics()
    : m_histograms(std::make_unique<histogram_state>())
{
}

metrics::~metrics() = default;

void metrics::observe(metric_histogram metric, double milliseconds)
{
    auto &data = m_histograms->all[static_cast<std::size_t>(metric)];
    const double value = milliseconds < 0 ? 0 : milliseconds;
    const std::lock_guard lock(data.mutex);
    data.histogram(value);
    data.sum += value;
}

void metrics::count(metric_counter metric, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(metric)] += amount;
}

void metrics::change(metric_gauge metric, std::int64_t difference)
{
    m_gauges[static_cast<std::size_t>(metric)] += difference;
}

std::string metrics::text() const
{
    std::ostringstream out;
    out.precision(15);
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        const auto &[name, labels] = counterNames[i];
        if (i == 0 || counterNames[i - 1].name != name) {
            out << "# TYPE " << name << " counter\n";
        }
        out << name << labels << " " << m_counters[i].load() << "\n";
    }
    for (std::size_t i = 0; i < m_gauges.size(); ++i) {
        out << "# TYPE " << gaugeNames[i] << " gauge\n" << gaugeNames[i] << " " << m_gauges[i].load() << "\n";
    }
    for (std::size_t i = 0; i < histogramNames.size(); ++i) {
        writeSeries(out, histogramNames[i], m_histograms->all[i]);
    }
    return out.str();
}

}
