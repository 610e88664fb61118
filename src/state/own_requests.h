#pragma once

#include "transport/core_time.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Requests that this daemon sent to one endpoint. Depending on its time, a load report of the endpoint includes them or not.
class own_requests
{
public:
    /// Counts at one point in time.
    struct counts
    {
        int inFlight = 0;
        double promptTokensWaiting = 0; ///< Uncached prompt tokens of requests that have no first token yet.
    };

    void recordSent(std::string_view attemptId, double promptTokens, double uncachedTokens, instant now);
    void recordFirstToken(std::string_view attemptId, instant now);
    void recordFinished(std::string_view attemptId, instant now);

    /// Saves the counts at the time a report was taken and removes requests that had finished by then.
    void recordReport(instant takenAt);

    counts now() const;
    const counts &atReport() const;
    /// Number of requests sent after the last report was taken.
    int sentSinceReport() const;
    /// Prompt tokens of the requests sent after the last report was taken.
    double promptTokensSinceReport() const;

private:
    struct request
    {
        std::string attemptId;
        double promptTokens = 0;
        double uncachedTokens = 0;
        instant sentAt;
        instant firstTokenAt = instant::max();
        instant finishedAt = instant::max();
    };

    counts countsAt(instant moment) const;
    request *find(std::string_view attemptId);

    std::vector<request> m_requests;
    instant m_reportTakenAt;
    counts m_atReport;
};

}
