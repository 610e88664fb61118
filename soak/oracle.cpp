#include "soak/oracle.h"

namespace faultsoak
{

namespace
{

constexpr std::int64_t keyRevocationLimitMs = 5000; // The revoke-ms of the deployments.
constexpr std::int64_t drainLimitMs = 2000; // The drain-ms of the deployments.
constexpr std::int64_t storeContactMs = 3000; // The contact-ms of the deployments: the drain limit applies only if the store had no fault for this long.
constexpr std::int64_t lossSlackMs = 200; // The loss-slack-ms of the deployments.
constexpr double minRecoveredFraction = 0.9; // Of the requests after the faults; the stand-in endpoints inject no error responses.

bool runsAtMostOnce(call_kind kind)
{
    return kind != call_kind::Idempotent;
}

bool statusMeansNotExecuted(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

}

std::string streamEvent(std::string_view id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(id) + "\n\n";
}

std::string expectedBody(call_kind kind, std::string_view id)
{
    if (kind != call_kind::Streaming) {
        return "answer to " + std::string(id);
    }
    std::string out;
    for (int number = 1; number <= streamEventCount; ++number) {
        out += streamEvent(id, number);
    }
    return out;
}

void oracle::addViolation(const std::string &description)
{
    m_violations.push_back(description);
}

void oracle::recordSent(const std::string &id, const std::string &key, std::int64_t timeMs)
{
    m_sent[id] = {key, timeMs};
}

void oracle::recordExecution(const endpoint_execution &execution)
{
    m_executions[execution.id].push_back(execution);
    const auto sent = m_sent.find(execution.id);
    if (sent == m_sent.end()) {
        addViolation("request " + execution.id + " ran at " + execution.endpoint + " and no caller sent it");
        return;
    }
    const auto &[key, sentAtMs] = sent->second;
    if (execution.receivedKey) {
        addViolation("the key of request " + execution.id + " reached endpoint " + execution.endpoint);
    }
    if (const auto owner = m_keyOwners.find(key); owner == m_keyOwners.end() || owner->second != execution.organisation) {
        addViolation("request " + execution.id + " ran for organisation \"" + execution.organisation + "\", which does not own its key");
    }
    if (const auto withdrawn = m_withdrawnAtMs.find(key); withdrawn != m_withdrawnAtMs.end() && sentAtMs > withdrawn->second + keyRevocationLimitMs) {
        addViolation("request " + execution.id + " ran " + std::to_string(sentAtMs - withdrawn->second) + " ms after its key was withdrawn");
    }
    if (const auto draining = m_drainingSinceMs.find(execution.endpoint); draining != m_drainingSinceMs.end()) {
        const bool storeWasHealthy = draining->second > m_lastStoreFaultMs + storeContactMs;
        if (storeWasHealthy && execution.timeMs > draining->second + drainLimitMs && sentAtMs > draining->second + drainLimitMs) {
            addViolation("request " + execution.id + " reached " + execution.endpoint + " " + std::to_string(execution.timeMs - draining->second)
                         + " ms after it began to leave");
        }
    }
}

void oracle::recordCallerResult(const caller_result &result)
{
    m_callerResults[result.id] = result;
    const bool success = result.status >= 200 && result.status < 300;
    if (success && result.complete && !result.hasSeal) {
        addViolation("request " + result.id + " got a success without a seal");
    }
    if (success && result.complete && result.body != expectedBody(result.kind, result.id)) {
        addViolation("request " + result.id + " got another body than its endpoint gave");
    }
    if (success && !result.complete && expectedBody(result.kind, result.id).rfind(result.body, 0) != 0) {
        addViolation("request " + result.id + " got pieces that are not the beginning of its answer");
    }
}

void oracle::recordKeyOwner(const std::string &key, const std::string &organisation)
{
    m_keyOwners[key] = organisation;
}

void oracle::recordKeyWithdrawal(const std::string &key, std::int64_t timeMs)
{
    m_withdrawnAtMs[key] = timeMs;
}

void oracle::recordEndpointDraining(const std::string &endpoint, std::int64_t timeMs)
{
    m_drainingSinceMs.try_emplace(endpoint, timeMs);
}

void oracle::recordStoreFault(std::int64_t timeMs)
{
    m_lastStoreFaultMs = timeMs;
}

void oracle::recordUsageReport(std::int64_t window, const std::string &counts)
{
    const auto [entry, added] = m_usageReports.try_emplace(window, counts);
    if (!added && entry->second != counts) {
        addViolation("window " + std::to_string(window) + " was reported as " + entry->second + " and as " + counts);
    }
}

void oracle::recordFencingToken(const std::string &duty, std::uint64_t token, const std::string &holder)
{
    const auto [entry, added] = m_tokenHolders.try_emplace({duty, token}, holder);
    if (!added && entry->second != holder) {
        addViolation("token " + std::to_string(token) + " of duty " + duty + " was used by " + entry->second + " and " + holder);
    }
}

void oracle::recordFaultsEnded(std::int64_t timeMs)
{
    m_faultsEndedAtMs = timeMs;
}

void oracle::forbidCutResponses()
{
    m_cutResponsesForbidden = true;
}

// A request that crosses the close of its connection has no answer either, but neither did it run, nor did the caller wait.
void oracle::checkCut(const caller_result &result, bool executed)
{
    const std::int64_t lastedMs = result.endedAtMs - result.sentAtMs;
    if (result.complete || (result.status == 0 && !executed && lastedMs <= lossSlackMs)) {
        return;
    }
    addViolation("request " + result.id + " was cut after " + std::to_string(lastedMs) + " ms, status " + std::to_string(result.status)
                 + (executed ? ", it ran" : ", it did not run"));
}

void oracle::checkFinalState()
{
    int requested = 0;
    int served = 0;
    for (const auto &[id, result] : m_callerResults) {
        const auto executions = m_executions.find(id);
        const std::size_t count = executions == m_executions.end() ? 0 : executions->second.size();
        if (m_cutResponsesForbidden) {
            checkCut(result, count > 0);
        }
        if (runsAtMostOnce(result.kind) && count > 1) {
            addViolation("request " + id + " may run once and ran " + std::to_string(count) + " times");
        }
        if (runsAtMostOnce(result.kind) && statusMeansNotExecuted(result.status) && count > 0) {
            addViolation("request " + id + " was answered " + std::to_string(result.status) + " and ran");
        }
        if (m_faultsEndedAtMs >= 0 && result.sentAtMs >= m_faultsEndedAtMs && !m_withdrawnAtMs.contains(result.key)) {
            ++requested;
            served += result.status == 200 && result.complete ? 1 : 0;
        }
    }
    if (m_faultsEndedAtMs >= 0 && served < minRecoveredFraction * requested) {
        addViolation("after the faults only " + std::to_string(served) + " of " + std::to_string(requested) + " requests were served");
    }
    if (m_faultsEndedAtMs >= 0 && requested == 0) {
        addViolation("no request was sent after the faults");
    }
}

const std::vector<std::string> &oracle::violations() const
{
    return m_violations;
}

std::string oracle::summary() const
{
    std::map<int, int> byStatus;
    for (const auto &[id, result] : m_callerResults) {
        ++byStatus[result.complete || result.status == 0 ? result.status : -result.status];
    }
    std::string out = std::to_string(m_callerResults.size()) + " requests:";
    for (const auto &[status, count] : byStatus) {
        out += " "
            + (status < 0        ? std::to_string(-status) + " cut"
                   : status == 0 ? std::string("no answer")
                                 : std::to_string(status))
            + " x" + std::to_string(count);
    }
    return out + "; " + std::to_string(m_usageReports.size()) + " usage reports";
}

}
