#include "coordination/load_summary.h"

#include "protocol/errors.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <httplib.h>
#include <iomanip>
#include <sstream>

namespace lacewinglock
{

namespace
{

constexpr int histogramBins = 400;
constexpr double smallestMs = 0.01;
constexpr double largestMs = 60000;
constexpr double timelyGapFraction = 0.95; // Fraction of the token gaps that must meet the target.
constexpr std::array verdictNames = {"whole", "wrong", "cut", "doubled", "partial"}; // In the order of answer_verdict.

auto makeHistogram()
{
    namespace bh = boost::histogram;
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(histogramBins, smallestMs, largestMs));
}

using ms_histogram = decltype(makeHistogram());

// Returns the upper edge of the bin that contains the percentile.
double percentile(const ms_histogram &histogram, double fraction)
{
    const double targetCount = boost::histogram::algorithm::sum(histogram) * fraction;
    double cumulativeCount = 0;
    for (const auto &bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        cumulativeCount += static_cast<double>(*bin);
        if (cumulativeCount >= targetCount && cumulativeCount > 0) {
            return std::min(bin.bin().upper(), largestMs);
        }
    }
    return 0;
}

nlohmann::json percentiles(const ms_histogram &histogram)
{
    return {{"p50", percentile(histogram, 0.5)}, {"p95", percentile(histogram, 0.95)}, {"p99", percentile(histogram, 0.99)}};
}

bool isTimely(const call_result &result)
{
    const auto firstTarget = std::chrono::duration<double, std::milli>(tunables::firstTokenTarget).count();
    const auto gapTarget = std::chrono::duration<double, std::milli>(tunables::tokenGapTarget).count();
    const auto good = std::ranges::count_if(result.gapsMs, [&](float gap) {
        return gap <= gapTarget;
    });
    return result.firstTokenMs <= firstTarget && static_cast<double>(good) >= timelyGapFraction * static_cast<double>(result.gapsMs.size());
}

// Compares the answer to a booking with the executions that the services recorded.
void checkExecutions(const planned_call &call, const call_result &result, const std::map<std::string, int> &executions, nlohmann::json &summary)
{
    const auto found = executions.find(call.bookingId);
    const int count = found == executions.end() ? 0 : found->second;
    const auto add = [&](const char *name, bool condition) {
        summary[name] = summary[name].get<int>() + (condition ? 1 : 0);
    };
    add("booking_doubled", count > 1);
    add("booking_not_executed", result.verdict == answer_verdict::Complete && count == 0);
    add("false_not_run", result.runState == "not_run" && count > 0);
}

nlohmann::json emptySummary()
{
    nlohmann::json summary = {{"refused", nlohmann::json::object()}, {"refusal_codes", nlohmann::json::object()}};
    for (const char *name : {"sent",
                             "late_starts",
                             "reconnected",
                             "whole",
                             "timely",
                             "wrong",
                             "cut",
                             "doubled",
                             "partial",
                             "lost",
                             "bookings",
                             "booking_doubled",
                             "booking_not_executed",
                             "false_not_run"}) {
        summary[name] = 0;
    }
    return summary;
}

void countCall(const planned_call &call, const call_result &result, nlohmann::json &summary)
{
    const auto add = [](nlohmann::json &object, const std::string &name, bool condition) {
        if (condition) {
            object[name] = object.value(name, 0) + 1;
        }
    };
    add(summary, "sent", result.sent);
    add(summary, "late_starts", result.late);
    add(summary, "reconnected", result.connections > 1);
    add(summary, "lost", result.lost);
    add(summary, "bookings", call.booking);
    add(summary["refused"], result.runState, !result.runState.empty());
    add(summary["refusal_codes"], result.refusalCode, !result.refusalCode.empty());
    if (result.verdict) {
        add(summary, verdictNames.at(static_cast<std::size_t>(*result.verdict)), true);
        add(summary, "timely", result.verdict == answer_verdict::Complete && !call.booking && call.stream && isTimely(result));
    }
}

}

absl::StatusOr<std::map<std::string, int>> fetchExecutions(const std::vector<std::string> &servers)
{
    std::map<std::string, int> total;
    for (const auto &server : servers) {
        const auto [host, port] = splitAddress(server);
        const auto answer = httplib::Client(host, port).Get("/executions");
        const auto body = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
        if (!body.is_object()) {
            return makeError(absl::StatusCode::kUnavailable, "fetch executions", server, "GET /executions returned no JSON object");
        }
        const auto counts = body.value("executions", nlohmann::json::object());
        for (const auto &[id, count] : counts.items()) {
            total[id] += count.get<int>();
        }
    }
    return total;
}

nlohmann::json
summariseLoad(const load_generator &generator, const std::vector<call_result> &results, const std::optional<std::map<std::string, int>> &executions)
{
    auto summary = emptySummary();
    auto firstTokens = makeHistogram();
    auto gaps = makeHistogram();
    int streams = 0;
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto &call = generator.plan()[index];
        const auto &result = results[index];
        countCall(call, result, summary);
        if (call.booking && executions) {
            checkExecutions(call, result, *executions, summary);
        }
        if (call.stream && !call.booking && result.verdict) {
            ++streams;
            firstTokens(result.firstTokenMs);
            gaps.fill(result.gapsMs);
        }
    }
    summary["streams_answered"] = streams;
    summary["executions_checked"] = executions.has_value();
    summary["first_token_ms"] = percentiles(firstTokens);
    summary["gap_ms"] = percentiles(gaps);
    return summary;
}

bool hasIncorrectAnswers(const nlohmann::json &summary)
{
    const auto names = {"wrong", "cut", "doubled", "booking_doubled", "booking_not_executed", "false_not_run"};
    return std::ranges::any_of(names, [&](const char *name) {
        return summary.value(name, 0) > 0;
    });
}

std::string formatLoadSummary(const nlohmann::json &summary)
{
    std::ostringstream table;
    for (const auto &[name, value] : summary.items()) {
        table << std::left << std::setw(24) << name << value.dump() << "\n";
    }
    return table.str();
}

}
