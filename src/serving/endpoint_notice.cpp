#include "serving/endpoint_notice.h"

#include "serving/limit_share.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto changeReportTime = std::chrono::seconds(1); // Some fifteen summaries, so that lost ones don't matter.
constexpr auto endReportTime = std::chrono::minutes(1); // For daemons that were frozen or cut off when a limit ended.
constexpr std::size_t maxUnchanged = 1; // Per report, for daemons that have just started. More would cost more bytes than the loads.

bool noteLeaving(endpoint_registry &endpoints, endpoint_state &endpoint, instant now)
{
    if (endpoint.saysLeaving) {
        return false;
    }
    endpoint.saysLeaving = true;
    endpoint.entry.draining = true;
    endpoint.noticeChangedAt = now;
    endpoints.noteLeaving(endpoint.hash, now);
    return true;
}

std::optional<double> rounded(std::optional<double> limit)
{
    return limit ? std::optional(roundLimit(*limit)) : std::nullopt;
}

bool setLimit(endpoint_state &endpoint, std::optional<double> limit, instant saidAt, instant now)
{
    endpoint.limitSaidAt = saidAt;
    if (endpoint.limit == limit) {
        return false;
    }
    endpoint.limit = limit;
    endpoint.turnTakenAt = endpoint.turnUsedAt; // Requests that wait for a slot of the old limit are placed again.
    endpoint.noticeChangedAt = now;
    return true;
}

// A limit is said at the latest when the answer arrives, and a higher one or none at the earliest when the request is sent. So a limit ends or grows only
// with an answer to a request that was sent after the last answer that named it.
bool noteLimit(endpoint_state &endpoint, std::optional<double> limit, instant sentAt, instant now)
{
    const bool relaxes = endpoint.limit && (!limit || *limit > *endpoint.limit);
    if (relaxes && sentAt <= endpoint.limitSaidAt) {
        return false;
    }
    return (limit || endpoint.limit) && setLimit(endpoint, limit, limit ? now : sentAt, now);
}

}

bool applyNotice(endpoint_registry &endpoints, endpoint_state &endpoint, const endpoint_notice &notice, instant sentAt, instant now)
{
    const bool left = notice.leaving && noteLeaving(endpoints, endpoint, now);
    if (notice.pause) {
        endpoint.pausedUntil = std::max(endpoint.pausedUntil, now + *notice.pause);
    }
    return noteLimit(endpoint, rounded(notice.limit), sentAt, now) || left;
}

bool applyReport(endpoint_registry &endpoints, const notice_report &report, instant now)
{
    const auto endpoint = endpoints.findByHash(report.endpoint);
    if (!endpoint) {
        if (report.leaving) {
            endpoints.noteLeaving(report.endpoint, now);
        }
        return false;
    }
    const bool left = report.leaving && noteLeaving(endpoints, *endpoint, now);
    // The age of a report lacks its time on the way, so an equal limit must not look newer each time it is passed on.
    const instant saidAt = now - std::chrono::milliseconds(report.ageMs);
    const auto limit = rounded(report.limit);
    const bool isNews = limit != endpoint->limit && saidAt > endpoint->limitSaidAt;
    return (isNews && setLimit(*endpoint, limit, saidAt, now)) || left;
}

std::vector<notice_report> selectReports(const endpoint_registry &endpoints, std::size_t count, std::size_t &next, instant now)
{
    std::vector<endpoint_ptr> changed;
    std::vector<endpoint_ptr> others;
    for (const auto &endpoint : endpoints.all()) {
        const bool everChanged = endpoint->noticeChangedAt != instant();
        if (everChanged && now - endpoint->noticeChangedAt <= changeReportTime) {
            changed.push_back(endpoint);
        } else if (endpoint->limit || endpoint->saysLeaving || (everChanged && now - endpoint->noticeChangedAt <= endReportTime)) {
            others.push_back(endpoint);
        }
    }
    std::ranges::sort(changed, std::ranges::greater{}, &endpoint_state::noticeChangedAt);
    changed.resize(std::min(changed.size(), count));
    for (std::size_t i = 0; i < std::min(maxUnchanged, others.size()) && changed.size() < count; ++i) {
        next = (next + 1) % others.size();
        changed.push_back(others[next]);
    }
    std::vector<notice_report> out;
    out.reserve(changed.size());
    for (const auto &endpoint : changed) {
        out.push_back({.endpoint = endpoint->hash,
                       .leaving = endpoint->saysLeaving,
                       .limit = endpoint->limit,
                       .ageMs = std::chrono::ceil<std::chrono::milliseconds>(now - endpoint->limitSaidAt).count()});
    }
    return out;
}

}
