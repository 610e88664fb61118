#pragma once

#include "coordination/bench_daemon.h"
#include "coordination/bench_fleet.h"
#include "coordination/bench_run.h"
#include "coordination/bench_signature.h"
#include "protocol/tunables.h"

#include <array>
#include <deque>
#include <queue>
#include <set>
#include <vector>

namespace lacewinglock
{

constexpr int benchDaemons = 3;

/// Progress of one request.
struct bench_request_progress
{
    int daemon = 0;
    bool done = false;
    bool refused = false;
    bool reportedNotRun = false;
    bool failed = false; ///< Ended with the run state "unknown".
    bool suspect = false;
    bool interruptedByReclaim = false;
    int attempts = 0; ///< Dispatches counted by the daemon.
    int engineReceipts = 0; ///< Dispatches received by engines.
    int executions = 0;
    int crashes = 0;
    int engine = -1;
    int prefillEngine = -1; ///< Engine that runs the prefill; negative when none is running.
    double expectedTokens = 0;
    double cost = 0;
    double firstTokenMs = -1;
    double lastTokenMs = -1;
    int gaps = 0;
    int slowGaps = 0;
    std::vector<std::string> excluded;
    bench_job job;
};

enum class bench_timer_kind {
    Arrival,
    StepEnd,
    StreamTransfer,
    Tick,
    Report,
    ReportArrives,
    CacheEvent,
    RoleChangeDone,
    EngineRestarted,
    EngineAdded,
    RoleControl,
    ProvisionControl,
    ReclaimNotice,
    Reclaim,
    CrashEngine
};

struct bench_timer
{
    double atMs = 0;
    std::uint64_t sequence = 0; ///< Order of timers that expire at the same time.
    bench_timer_kind kind = bench_timer_kind::Tick;
    int index = 0;
    std::uint64_t incarnation = 0;
};

struct bench_timer_order
{
    bool operator()(const bench_timer &left, const bench_timer &right) const
    {
        return std::pair(left.atMs, left.sequence) > std::pair(right.atMs, right.sequence);
    }
};

struct bench_cache_change
{
    int engine = 0;
    int prefix = -1;
    bool stored = false;
    bool eventLost = false;
};

struct bench_pending_engine
{
    std::string domain;
    bool reclaimable = false;
};

/// Simulation of one run. The event loop is in bench_run.cpp, the request sessions in bench_session.cpp, planners and faults in bench_control.cpp.
class bench_state
{
public:
    bench_state(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed);
    bench_score run();

private:
    // Event loop (bench_run.cpp).
    void schedule(double atMs, bench_timer_kind kind, int index = 0, std::uint64_t incarnation = 0);
    void handle(const bench_timer &event);
    void startStep(int engine);
    void endStep(int engine, std::uint64_t incarnation);
    void applyEvent(int engine, const bench_event &event);
    void createReports();
    void applyCacheChange(const bench_cache_change &change);

    // Session (bench_session.cpp).
    void handleArrival(int request);
    void processQueues(int daemon);
    void admitWaiting(int daemon);
    bool tryResume(int request);
    admit_verdict tryAdmit(int request);
    route_input routeInput(int request, const bench_daemon &daemon);
    admit_input admitInput(int request, const bench_daemon &daemon, const route_result &route, double capacity) const;
    void send(int request, const route_result &route, const route_input &input);
    void recordToken(int request);
    void recordPrefillDone(int request);
    void completeRequest(int request);
    void refuseRequest(int request);
    void failAttempt(int request, const bench_job &job);
    void releaseEngines(int request);
    void failCrashedJobs(int engine, const std::vector<bench_job> &jobs, int suspect);
    void transferStream(int request);

    // Planners and faults (bench_control.cpp).
    bool storeAvailable() const;
    void recordDemand(const bench_request &request);
    token_demand meanDemand(double horizonMs) const;
    void runRolePlanner();
    void runProvisionPlanner();
    void startRoleChangeIfDrained(int engine);
    void crash(int engine, int poisonRequest);
    void reclaimDomain(int domain, bool isNotice);

    bench_score score() const;

    const bench_workload &m_workload;
    const bench_variant &m_variant;
    bench_random m_random;
    double m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<bench_timer, std::vector<bench_timer>, bench_timer_order> m_timers;
    std::vector<bench_request> m_requests;
    std::vector<bench_request_progress> m_progress;
    bench_fleet m_fleet;
    std::array<bench_daemon, benchDaemons> m_daemons;
    std::array<std::vector<int>, benchDaemons> m_resumes;
    std::deque<bench_report> m_reports; ///< Reports in transit, oldest first.
    std::vector<bench_cache_change> m_cacheChanges;
    std::vector<bench_pending_engine> m_pendingEngines;
    std::size_t m_addedEngines = 0;
    std::deque<std::pair<double, token_demand>> m_demand; ///< Arrival time and demand of each request within the longest horizon.
    double m_sentTokens = 1; ///< Decaying sum of the prompt tokens dispatched.
    double m_uncachedTokens = 1; ///< Decaying sum of the dispatched prompt tokens that were expected to miss the cache.
    bool m_poisonConfirmed = false;
    bool m_reclaimableAvailable = true;
    int m_roleChanges = 0;
    double m_lastRoleChangeMs = 0; ///< Starts at 0: a new planner waits as after a role change, since its horizons are still empty.
    std::uint64_t m_turn = 0;
    bench_signature m_signature;
};

}
