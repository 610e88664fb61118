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

/// Course of one request.
struct bench_course
{
    int daemon = 0;
    bool done = false;
    bool refused = false;
    bool saidNotRun = false;
    bool failed = false; ///< Answered "unknown".
    bool suspect = false;
    bool cutByReclaim = false;
    int attempts = 0; ///< As the session counts them.
    int receipts = 0; ///< As the engines count them.
    int executions = 0;
    int crashes = 0;
    int engine = -1;
    int prefillEngine = -1; ///< While its prefill runs.
    double expectedTokens = 0;
    double cost = 0;
    double firstTokenMs = -1;
    double lastTokenMs = -1;
    int gaps = 0;
    int slowGaps = 0;
    std::vector<std::string> excluded;
    bench_job job;
};

enum class bench_timer {
    Arrival,
    StepEnd,
    Import,
    Tick,
    Report,
    ReportArrives,
    CacheEvent,
    RoleDone,
    EngineUp,
    EngineArrives,
    RoleControl,
    ProvisionControl,
    Notice,
    Reclaim,
    CrashEngine
};

struct bench_timed
{
    double atMs = 0;
    std::uint64_t sequence = 0; ///< Order of events at the same time.
    bench_timer kind = bench_timer::Tick;
    int index = 0;
    std::uint64_t generation = 0;
};

struct bench_later
{
    bool operator()(const bench_timed &left, const bench_timed &right) const
    {
        return std::pair(left.atMs, left.sequence) > std::pair(right.atMs, right.sequence);
    }
};

struct bench_cache_change
{
    int engine = 0;
    int prefix = -1;
    bool stored = false;
    bool gap = false;
};

struct bench_arriving
{
    std::string domain;
    bool reclaimable = false;
};

/// State of one run and the actions on it; bench_run.cpp holds the event loop and the session, bench_control.cpp the planners and faults.
class bench_state
{
public:
    bench_state(const bench_workload &workload, const bench_variant &variant, std::uint64_t seed);
    bench_score run();

private:
    // Event loop (bench_run.cpp).
    void schedule(double atMs, bench_timer kind, int index = 0, std::uint64_t generation = 0);
    void handle(const bench_timed &event);
    void kick(int engine);
    void endStep(int engine, std::uint64_t generation);
    void applyEvent(int engine, const bench_event &event);
    void takeReports();
    void takeCacheChange(const bench_cache_change &change);

    // Session (bench_session.cpp).
    void arrive(int request);
    void pump(int daemon);
    void pumpWaiting(int daemon);
    bool tryResume(int request);
    admit_verdict tryAdmit(int request);
    route_input routeInput(int request, const bench_daemon &daemon);
    admit_input admitInput(int request, const bench_daemon &daemon, const route_result &route, double capacity) const;
    void send(int request, const route_result &route, const route_input &input);
    void token(int request);
    void firstToken(int request);
    void finish(int request);
    void refuse(int request);
    void fail(int request, const bench_job &job);
    void detach(int request);
    void dropCrashed(int engine, const std::vector<bench_job> &jobs, int suspect);
    void importAt(int request);

    // Planners and faults (bench_control.cpp).
    bool storeUp() const;
    void measureDemand(const bench_request &request);
    token_demand demandOver(double horizonMs) const;
    void controlRoles();
    void controlProvision();
    void finishDrain(int engine);
    void crash(int engine, int poisonRequest);
    void withdrawDomain(int domain, bool noticeOnly);

    bench_score score() const;

    const bench_workload &m_workload;
    const bench_variant &m_variant;
    bench_random m_random;
    double m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<bench_timed, std::vector<bench_timed>, bench_later> m_timers;
    std::vector<bench_request> m_requests;
    std::vector<bench_course> m_courses;
    bench_fleet m_fleet;
    std::array<bench_daemon, benchDaemons> m_daemons;
    std::array<std::vector<int>, benchDaemons> m_resumes;
    std::deque<bench_report> m_reports; ///< On their way, oldest first.
    std::vector<bench_cache_change> m_cacheChanges;
    std::vector<bench_arriving> m_arriving;
    std::size_t m_arrived = 0;
    std::deque<std::pair<double, token_demand>> m_demand; ///< One entry per request.
    double m_sentTokens = 1; ///< Decaying sums over the prompts sent, whole and uncached.
    double m_missTokens = 1;
    bool m_poisonKnown = false;
    bool m_cheapAvailable = true;
    int m_roleChanges = 0;
    double m_lastRoleChangeMs = 0; ///< A planner that has just started waits as after a change, as its horizons are still empty.
    std::uint64_t m_turn = 0;
    bench_signature m_signature;
};

}
