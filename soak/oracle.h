#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Test oracle of the fault soak: checks the invariants of the system against what callers, endpoints and the platform observe. Shares no code
/// with the product. All times are milliseconds of one steady clock.
namespace faultsoak
{

enum class call_kind {
    Idempotent, ///< The request may run more than once.
    NonIdempotent, ///< The request may run at most once.
    Streaming ///< The request may run at most once; its stream cannot be resumed.
};

/// Result of one request as its caller received it.
struct caller_result
{
    std::string id;
    call_kind kind = call_kind::Idempotent;
    std::string key;
    std::int64_t sentAtMs = 0;
    std::int64_t endedAtMs = 0;
    int status = 0; ///< HTTP status; 0 without a response.
    bool complete = false; ///< The response reached the end that its HTTP framing announced.
    bool hasSeal = false; ///< The response has an X-Response-Seal header.
    std::string body;
};

/// One execution of a request at an endpoint.
struct endpoint_execution
{
    std::string id;
    std::string endpoint;
    std::string organisation;
    bool receivedKey = false; ///< The caller's API key reached the endpoint, which must not happen.
    std::int64_t timeMs = 0; ///< Start of the execution.
};

/// Complete response body of an endpoint for a request.
std::string expectedBody(call_kind kind, std::string_view id);
/// One server-sent event of a streamed response; numbers start at 1.
std::string streamEvent(std::string_view id, int number);
constexpr int streamEventCount = 5;

/// Records observations and collects violations of the invariants. Not thread-safe.
class oracle
{
public:
    /// Records that a caller is about to send a request to a daemon. `crashingPart` is the part of its prompt that crashes engines, if it has one.
    void recordSent(const std::string &id, const std::string &key, std::int64_t timeMs, const std::string &daemon = "", const std::string &crashingPart = "");
    /// Records that a request reached an endpoint, whether or not it is executed.
    void recordArrival(const std::string &id, std::int64_t timeMs);
    /// Records that an engine crashed on a part of a prompt.
    void recordCrash(const std::string &crashingPart, std::int64_t timeMs);
    /// Records a kill, stop, start or pause of a daemon, or a fault on its path to the store. Empty stands for all daemons.
    void recordDisruption(const std::string &daemon, std::int64_t timeMs);
    /// Records the first fault; before it, prompts are served at the rate that later ones are compared with.
    void recordFaultsBegan(std::int64_t timeMs);
    /// Records an execution and checks its key, organisation and endpoint.
    void recordExecution(const endpoint_execution &execution);
    /// Records a caller's result and checks its seal and body.
    void recordCallerResult(const caller_result &result);
    /// Records the organisation that owns a key.
    void recordKeyOwner(const std::string &key, const std::string &organisation);
    /// Records when the store acknowledged a configuration without the key.
    void recordKeyWithdrawal(const std::string &key, std::int64_t timeMs);
    /// Records when the store first acknowledged the endpoint's draining state.
    void recordEndpointDraining(const std::string &endpoint, std::int64_t timeMs);
    /// Records that store access was impaired for at least one daemon up to this time.
    void recordStoreFault(std::int64_t timeMs);
    /// Records a usage report that the platform accepted. Every report of a window must have the same counts.
    void recordUsageReport(std::int64_t window, const std::string &counts);
    /// Records a fencing token that the platform accepted. Each token of a duty must have one holder.
    void recordFencingToken(const std::string &duty, std::uint64_t token, const std::string &holder);
    /// Records that the recovery time after the last fault has passed; requests sent from then on count for the recovery check.
    void recordFaultsEnded(std::int64_t timeMs);

    /// From now on, daemons only stop and start in order: a request that a daemon took is answered whole.
    void forbidCutResponses();

    /// Checks the invariants that need the complete record: executions per request, refusals and recovery.
    void checkFinalState();

    /// Descriptions of all violations found so far.
    const std::vector<std::string> &violations() const;
    /// Number of requests by status, of truncated responses and of usage reports.
    std::string summary() const;

private:
    struct sent_request
    {
        std::string key;
        std::int64_t timeMs = 0;
        std::string daemon;
        std::string crashingPart;
    };
    struct crashing_part
    {
        std::vector<std::int64_t> crashesMs;
        std::int64_t lastSentMs = 0;
        int lateArrivals = 0; ///< At engines, after enough crashes, from daemons in touch.
    };
    struct served_count
    {
        int sent = 0;
        int served = 0;
    };

    bool inTouch(const std::string &daemon, std::int64_t timeMs) const;
    served_count countPrompts(std::int64_t fromMs, std::int64_t toMs) const;
    served_count countPromptsBeside(const crashing_part &part) const;
    void checkCrashingParts();
    void addViolation(const std::string &description);
    void checkCut(const caller_result &result, bool executed);

    std::map<std::string, std::vector<endpoint_execution>> m_executions;
    std::map<std::string, caller_result> m_callerResults;
    std::map<std::string, sent_request> m_sent; ///< By request id.
    std::map<std::string, crashing_part> m_crashingParts;
    std::map<std::string, std::int64_t> m_disruptedMs; ///< Last disruption by daemon.
    std::set<std::string> m_calmRequests; ///< Answered by a daemon that was in touch until then.
    std::int64_t m_faultsBeganAtMs = -1;
    std::map<std::string, std::string> m_keyOwners;
    std::map<std::string, std::int64_t> m_withdrawnAtMs;
    std::map<std::string, std::int64_t> m_drainingSinceMs;
    std::int64_t m_lastStoreFaultMs = -1'000'000;
    std::map<std::int64_t, std::string> m_usageReports;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_tokenHolders;
    std::int64_t m_faultsEndedAtMs = -1;
    bool m_cutResponsesForbidden = false;
    std::vector<std::string> m_violations;
};

}
