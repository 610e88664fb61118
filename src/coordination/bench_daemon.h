#pragma once

#include "coordination/bench_workload.h"
#include "protocol/decisions.h"

#include <map>
#include <string>
#include <vector>

namespace lacewinglock
{

/// What the bench's daemons see of one engine at a time, as a report that will arrive later.
struct bench_report
{
    int engine = 0;
    double takenMs = 0;
    endpoint_role role = endpoint_role::Mixed;
    double queuedTokens = 0;
    int streams = 0;
    double freeKvTokens = 0;
};

/// Fixed facts of an engine that every daemon knows at once.
struct bench_engine_facts
{
    std::string id;
    std::string failureDomain;
    bool reclaimable = false;
    bool leaving = false;
    bool reachable = true;
    bool changingRole = false;
};

/// The knowledge of one daemon: reports, its own work since, cache estimates, and what organisations have in flight through it.
class bench_daemon
{
public:
    std::vector<endpoint_view> views(const std::vector<bench_engine_facts> &facts, const bench_request &request, double nowMs) const;

    /// Remembers the own counters at the time a report is taken.
    void markReport(const bench_report &report);
    void takeReport(const bench_report &report);
    void noteSent(int engine, double expectedTokens, double promptTokens);
    void noteFirstToken(int engine, double expectedTokens);
    void noteFinished(int engine);
    void setCached(int engine, int prefix, double weight);
    void noteGap(int engine);
    void forget(int engine);

    std::map<int, double> organisationTokens; ///< Weighted tokens in flight.
    std::map<int, int> organisationInFlight;
    std::map<int, double> served; ///< Weighted tokens per weight.
    double tokensInFlight = 0;
    double meanCost = 1000; ///< Running mean over the requests that arrived.
    std::vector<int> waiting;

private:
    struct own_counters
    {
        int inFlight = 0;
        double waitingTokens = 0;
        double sentTokens = 0;
        int sentStreams = 0;
    };

    struct knowledge
    {
        bench_report report;
        own_counters now;
        own_counters atReport;
        std::map<double, own_counters> marks; ///< By the time of reports still on their way.
        std::map<int, double> prefixes;
    };

    std::map<int, knowledge> m_engines;
};

}
