#include "soak/oracle.h"

#include <algorithm>

namespace faultsoak
{

namespace
{

constexpr std::int64_t keyRevocationLimitMs = 5000; // The revoke-ms of the deployments.
constexpr std::int64_t drainLimitMs = 2000; // The drain-ms of the deployments.
constexpr std::int64_t storeContactMs = 3000; // The contact-ms of the deployments: the drain limit applies only if the store had no fault for this long.
constexpr std::size_t crashLimit = 5; // Crashes of engines after which the part that caused them is to be known.
constexpr int maxLateArrivals = 3;
constexpr int minPrompts = 20; // Fewer give no rate.
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

void oracle::recordSent(const std::string &id, const std::string &key, std::int64_t timeMs, const std::string &daemon, const std::string &crashingPart)
{
    m_sent[id] = {key, timeMs, daemon, crashingPart};
    if (!crashingPart.empty()) {
        m_crashingParts[crashingPart].lastSentMs = timeMs;
    }
}

void oracle::recordArrival(const std::string &id, std::int64_t timeMs)
{
    const auto sent = m_sent.find(id);
    if (sent == m_sent.end() || sent->second.crashingPart.empty()) {
        return;
    }
    auto &part = m_crashingParts[sent->second.crashingPart];
    const bool known = part.crashesMs.size() >= crashLimit && timeMs > part.crashesMs[crashLimit - 1] + storeContactMs;
    part.lateArrivals += known && inTouch(sent->second.daemon, timeMs) ? 1 : 0;
}

void oracle::recordCrash(const std::string &crashingPart, std::int64_t timeMs)
{
    m_crashingParts[crashingPart].crashesMs.push_back(timeMs);
}

void oracle::recordDisruption(const std::string &daemon, std::int64_t timeMs)
{
    m_disruptedMs[daemon] = timeMs;
}

void oracle::recordFaultsBegan(std::int64_t timeMs)
{
    m_faultsBeganAtMs = timeMs;
}

// Whether the daemon had no disruption from the contact time before `timeMs` until now.
bool oracle::inTouch(const std::string &daemon, std::int64_t timeMs) const
{
    const auto calm = [&](const std::string &name) {
        const auto found = m_disruptedMs.find(name);
        return found == m_disruptedMs.end() || timeMs > found->second + storeContactMs;
    };
    return calm(daemon) && calm("");
}

void oracle::recordExecution(const endpoint_execution &execution)
{
    m_executions[execution.id].push_back(execution);
    const auto sent = m_sent.find(execution.id);
    if (sent == m_sent.end()) {
        addViolation("request " + execution.id + " ran at " + execution.endpoint + " and no caller sent it");
        return;
    }
    const auto &key = sent->second.key;
    const auto sentAtMs = sent->second.timeMs;
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
    if (const auto sent = m_sent.find(result.id); sent != m_sent.end() && inTouch(sent->second.daemon, result.sentAtMs)) {
        m_calmRequests.insert(result.id);
    }
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

// Prompts without a crashing part, of keys that are always valid, sent to daemons in touch.
oracle::served_count oracle::countPrompts(std::int64_t fromMs, std::int64_t toMs) const
{
    served_count out;
    for (const auto &[id, result] : m_callerResults) {
        const auto sent = m_sent.find(id);
        const bool sound = sent != m_sent.end() && sent->second.crashingPart.empty() && !m_withdrawnAtMs.contains(result.key);
        if (result.kind == call_kind::Streaming && sound && m_calmRequests.contains(id) && result.sentAtMs >= fromMs && result.sentAtMs <= toMs) {
            ++out.sent;
            out.served += result.status == 200 && result.complete ? 1 : 0;
        }
    }
    return out;
}

oracle::served_count oracle::countPromptsBeside(const crashing_part &part) const
{
    const auto knownMs = part.crashesMs[std::min(part.crashesMs.size(), crashLimit) - 1];
    return countPrompts(knownMs + 2 * storeContactMs, part.lastSentMs);
}

void oracle::checkCrashingParts()
{
    const auto before = countPrompts(0, m_faultsBeganAtMs);
    for (const auto &[name, part] : m_crashingParts) {
        if (part.lateArrivals > maxLateArrivals) {
            addViolation("requests with part " + name + " reached engines " + std::to_string(part.lateArrivals) + " times after " + std::to_string(crashLimit)
                         + " crashes; " + std::to_string(part.crashesMs.size()) + " in all");
        }
        if (part.crashesMs.empty()) {
            continue;
        }
        const auto beside = countPromptsBeside(part);
        // served / sent of both, compared without division.
        if (before.sent >= minPrompts && beside.sent >= minPrompts && 2LL * beside.served * before.sent < 1LL * before.served * beside.sent) {
            addViolation("while part " + name + " crashed engines, " + std::to_string(beside.served) + " of " + std::to_string(beside.sent)
                         + " prompts without it were served, before the faults " + std::to_string(before.served) + " of " + std::to_string(before.sent));
        }
    }
}

void oracle::checkFinalState()
{
    checkCrashingParts();
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
    for (const auto &[name, part] : m_crashingParts) {
        const auto beside = part.crashesMs.empty() ? served_count() : countPromptsBeside(part);
        out += "; part " + name + ": " + std::to_string(part.crashesMs.size()) + " crashes, " + std::to_string(part.lateArrivals) + " late arrivals, "
            + std::to_string(beside.served) + " of " + std::to_string(beside.sent) + " prompts beside it served";
    }
    return out + "; " + std::to_string(m_usageReports.size()) + " usage reports";
}

}
