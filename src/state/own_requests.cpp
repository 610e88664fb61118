#include "state/own_requests.h"

#include "protocol/tunables.h"

#include <algorithm>

namespace lacewinglock
{

void own_requests::recordSent(std::string_view attemptId, double promptTokens, double uncachedTokens, instant now)
{
    // Without this, finished requests would accumulate while no reports arrive. Routing does not use a report of this age any more.
    std::erase_if(m_requests, [&](const request &item) {
        return item.finishedAt != instant::max() && toMs(now - item.finishedAt) > tunables::staleReportMs;
    });
    m_requests.push_back({.attemptId = std::string(attemptId), .promptTokens = promptTokens, .uncachedTokens = uncachedTokens, .sentAt = now});
}

own_requests::request *own_requests::find(std::string_view attemptId)
{
    const auto found = std::ranges::find(m_requests, attemptId, &request::attemptId);
    return found == m_requests.end() ? nullptr : &*found;
}

void own_requests::recordFirstToken(std::string_view attemptId, instant now)
{
    if (auto *item = find(attemptId)) {
        item->firstTokenAt = std::min(item->firstTokenAt, now);
    }
}

void own_requests::recordFinished(std::string_view attemptId, instant now)
{
    if (auto *item = find(attemptId)) {
        item->firstTokenAt = std::min(item->firstTokenAt, now);
        item->finishedAt = std::min(item->finishedAt, now);
    }
}

void own_requests::recordReport(instant takenAt)
{
    m_atReport = countsAt(takenAt);
    m_reportTakenAt = takenAt;
    std::erase_if(m_requests, [&](const request &item) {
        return item.finishedAt <= takenAt;
    });
}

own_requests::counts own_requests::countsAt(instant moment) const
{
    counts result;
    for (const auto &item : m_requests) {
        if (item.sentAt <= moment && item.finishedAt > moment) {
            ++result.inFlight;
            result.promptTokensWaiting += item.firstTokenAt > moment ? item.uncachedTokens : 0;
        }
    }
    return result;
}

own_requests::counts own_requests::now() const
{
    counts result;
    for (const auto &item : m_requests) {
        result.inFlight += item.finishedAt == instant::max() ? 1 : 0;
        result.promptTokensWaiting += item.firstTokenAt == instant::max() ? item.uncachedTokens : 0;
    }
    return result;
}

const own_requests::counts &own_requests::atReport() const
{
    return m_atReport;
}

int own_requests::sentSinceReport() const
{
    return static_cast<int>(std::ranges::count_if(m_requests, [&](const request &item) {
        return item.sentAt > m_reportTakenAt;
    }));
}

double own_requests::promptTokensSinceReport() const
{
    double sum = 0;
    for (const auto &item : m_requests) {
        sum += item.sentAt > m_reportTakenAt ? item.promptTokens : 0;
    }
    return sum;
}

}
