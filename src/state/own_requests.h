#pragma once

#include "transport/core_time.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Requests that this daemon sent to one endpoint and that a load report of it may or may not include.
class own_requests
{
public:
    /// Counts at one moment.
    struct counts
    {
        int inFlight = 0;
        double promptTokensWaiting = 0; ///< Uncached prompt tokens of requests without a first token.
    };

    void sent(std::string_view attemptId, double promptTokens, double uncachedTokens, instant now);
    void firstToken(std::string_view attemptId, instant now);
    void finished(std::string_view attemptId, instant now);

    /// Takes the counts at the time of a report and forgets what ended before it.
    void markReport(instant takenAt);

    counts now() const;
    const counts &atReport() const;
    /// Requests sent after the last report, and their prompt tokens.
    int sentSince() const;
    double promptTokensSince() const;

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
