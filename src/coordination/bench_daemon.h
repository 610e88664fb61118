#pragma once

#include "coordination/bench_workload.h"
#include "protocol/decisions.h"

#include <map>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Load report of one engine. It reaches the daemons after a delay.
struct bench_report
{
    int engine = 0;
    double createdMs = 0;
    endpoint_role role = endpoint_role::Mixed;
    double queuedTokens = 0;
    int streams = 0;
    double freeKvTokens = 0;
};

/// Attributes of an engine that all daemons see without delay.
struct bench_engine_attributes
{
    std::string id;
    std::string failureDomain;
    bool reclaimable = false;
    bool leaving = false;
    bool reachable = true;
    bool changingRole = false;
};

/// Local state of one daemon: the last report of each engine, its own requests since then, cache estimates and the tokens in flight per organisation.
class bench_daemon
{
public:
    std::vector<endpoint_view> endpointViews(const std::vector<bench_engine_attributes> &attributes, const bench_request &request, double nowMs) const;

    /// Stores the daemon's own counters at the time at which a report is created, so that they can be compared when it arrives.
    void snapshotCounters(const bench_report &report);
    void applyReport(const bench_report &report);
    void recordSent(int engine, double expectedTokens, double promptTokens);
    void recordFirstToken(int engine, double expectedTokens);
    void recordFinished(int engine);
    void setCached(int engine, int prefix, double weight);
    void recordLostCacheEvent(int engine);
    void clearCachedPrefixes(int engine);

    std::map<int, double> organisationTokens; ///< Cost of the requests in flight, in weighted tokens.
    std::map<int, int> organisationInFlight;
    std::map<int, double> served; ///< Cost of the admitted requests divided by the weight of the organisation.
    double tokensInFlight = 0;
    double meanCost = 1000; ///< Moving average of the cost of arriving requests, in weighted tokens.
    std::vector<int> waiting;

private:
    struct own_counters
    {
        int inFlight = 0;
        double waitingTokens = 0;
        double sentTokens = 0;
        int sentStreams = 0;
    };

    struct engine_estimate
    {
        bench_report report;
        own_counters current;
        own_counters atReport;
        std::map<double, own_counters> countersByReport; ///< Snapshots for reports in transit, keyed by `createdMs`.
        std::map<int, double> prefixes;
    };

    std::map<int, engine_estimate> m_estimates;
};

}
